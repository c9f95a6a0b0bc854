#include "core_status.hpp"

#include <nlohmann/json.hpp>

namespace plantainpoint {

namespace {

std::int64_t millisOf(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

nlohmann::json vmOf(const core_components &components)
{
    nlohmann::json out{{"name", components.self().vm.value},
                       {"incarnation", components.self().number},
                       {"data_centre", components.settings.dataCentre.value},
                       {"region", components.settings.region.value},
                       {"state", std::string(nameOf(components.machine.stage()))},
                       {"permit", std::string(nameOf(components.fresh.leaseBasis()))},
                       {"log_readable", components.follow.logReadable()},
                       {"pending_appends", components.follow.pendingAppends()},
                       {"pending_cancels", components.cancels.size()},
                       {"retry_budget", components.retries.left()}};
    if (const auto age = components.fresh.proofAge()) {
        out["proof_age_ms"] = millisOf(*age);
    }
    return out;
}

nlohmann::json membersOf(const core_components &components)
{
    auto out = nlohmann::json::array();
    for (const auto &member : components.log.epoch().members) {
        nlohmann::json memberStatus{{"vm", member.id.vm.value},
                                    {"incarnation", member.id.number},
                                    {"data_centre", member.dataCentre.value},
                                    {"dead", components.members.isDead(member.id)}};
        const auto view = components.members.peers().find(member.id.vm);
        if (view != components.members.peers().end()) {
            memberStatus["heard_ms_ago"] = millisOf(components.clock.now() - view->second.lastHeard);
            memberStatus["applied"] = view->second.applied;
            memberStatus["epoch"] = view->second.epoch;
            memberStatus["leaving"] = view->second.leaving;
        }
        out.push_back(std::move(memberStatus));
    }
    return {{"epoch", components.log.epoch().number}, {"vms", std::move(out)}};
}

nlohmann::json configurationOf(const core_components &components)
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[name, service] : components.log.config().services()) {
        services[name.value] = {{"version", components.log.config().versionOf(name)},
                                {"routes", service.routes.size()},
                                {"models", service.models.size()},
                                {"endpoints", service.endpoints.size()},
                                {"accounts", service.accounts.size()},
                                {"keys", service.keys.size()}};
    }
    return {{"applied", components.log.applied()}, {"malformed_entries", components.log.malformedEntries()}, {"services", std::move(services)}};
}

nlohmann::json poolsOf(const core_components &components)
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto &[pool, entry] : components.directory.pools()) {
        out[pool.model.value + "@" + pool.region.value] = {{"placer", entry.owner ? entry.owner->id.vm.value : std::string{}},
                                                           {"workers", entry.endpoints.size()}};
    }
    return out;
}

nlohmann::json requestsOf(const core_components &components)
{
    std::map<std::string, std::int64_t> stages;
    for (const auto sequence : components.requests.sequences()) {
        ++stages[std::string(nameOf(components.requests.find(sequence)->machine.stage()))];
    }
    return {{"open", components.requests.size()}, {"stages", stages}};
}

} // namespace

nlohmann::json statusOf(const core_components &components, const dispatcher &inputDispatcher)
{
    return {{"vm", vmOf(components)},
            {"members", membersOf(components)},
            {"configuration", configurationOf(components)},
            {"endpoints", inputDispatcher.endpointMonitor().status()},
            {"pools", poolsOf(components)},
            {"placers", components.pools.status()},
            {"orders", inputDispatcher.orders().status()},
            {"accounts", components.shares.status()},
            {"requests", requestsOf(components)},
            {"drains", inputDispatcher.endpointMonitor().drains()}};
}

nlohmann::json auditOf(const log_state &log)
{
    auto out = nlohmann::json::array();
    for (const auto &event : log.audit()) {
        out.push_back(
            {{"kind", std::string(nameOf(event.kind))}, {"actor", event.actor}, {"subject", event.subject}, {"detail", event.detail}, {"at", event.at}});
    }
    return out;
}

} // namespace plantainpoint
