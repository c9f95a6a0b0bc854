#include "core_components.hpp"

namespace plantainpoint {

namespace {

epoch_member memberOf(const vm_settings &settings)
{
    return epoch_member{settings.self, settings.dataCentre, settings.region, settings.peerAddress};
}

template<class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template<class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

core_components::core_components(vm_settings initialSettings, const clock_source &clockSource, const wall_clock_source &wallClockSource)
    : settings(std::move(initialSettings))
    , clock(clockSource)
    , wallClock(wallClockSource)
    , follow(log, settings.self, clockSource)
    , members(memberOf(settings), clockSource)
    , fresh(settings.self, settings.dataCentre, clockSource)
    , shares(settings.self, members, clockSource)
    , pools(clockSource)
    , decisions(clockSource)
    , cancels(log, clockSource, metrics, out)
{
}

void core_components::sendPeer(const vm_name &to, peer_body body)
{
    auto address = members.addressOf(to);
    if (!address.empty()) {
        out.push(send_peer{to, std::move(address), peer_message{self(), 0, std::move(body)}});
    }
}

void core_components::sendToScheduler(const pool_id &pool, const peer_body &body)
{
    const auto *const entry = directory.find(pool);
    if (entry == nullptr || !entry->owner) {
        return;
    }
    if (entry->owner->id != self()) {
        sendPeer(entry->owner->id.vm, body);
        return;
    }
    schedulerDirty = true;
    std::visit(overloaded{[&](const place_request &message) { pools.enqueue(self(), message); },
                          [&](const placement_progress &message) { pools.onProgress(message); },
                          [&](const placement_done &message) { pools.onDone(message); },
                          [&](const ledger_sync &message) { pools.onSync(self(), message); },
                          [](const auto &) {}},
               body);
}

bool core_components::isDead(const incarnation_id &id) const
{
    const auto peer = members.peers().find(id.vm);
    const bool isLeaving = peer != members.peers().end() && peer->second.id == id && peer->second.leaving;
    if (isLeaving && clock.now() - peer->second.lastHeard < orphanTimeout) {
        return false;
    }
    return members.isDead(id);
}

void core_components::logMessage(severity level, log_component component, std::string text, const request_label *label)
{
    out.push(log_line{level, component, label == nullptr ? std::nullopt : std::optional(*label), std::move(text)});
}

void core_components::audit(audit_kind kind, std::string subject, std::string detail)
{
    follow.append(audit_event{kind, self().vm.value, std::move(subject), std::move(detail), wallClock.now()}, out);
}

} // namespace plantainpoint
