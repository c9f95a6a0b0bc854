// Log, VM list, network and operators of the simulated fleet.
#include "world_state.hpp"

namespace plantainpoint::fuzz {

// The log.

bool world::logReachable(const simulated_vm &vm) const
{
    if (!m_isolatedDataCentre) {
        return true;
    }
    const bool onIsolatedSide = vm.dataCentreNumber == *m_isolatedDataCentre;
    return onIsolatedSide == m_logOnIsolatedSide;
}

void world::appendEntry(std::string payload)
{
    log_entry entry{m_logFirst + m_log.size(), std::move(payload)};
    m_log.push_back(entry);
    const auto before = m_referenceState.config();
    // An entry that is committed during an outage of the log can be read when the outage ends.
    const auto visibleAt = std::max(m_clock.now(), m_logDownUntil);
    if (!m_referenceState.applyEntry(entry).ok()) {
        return;
    }
    for (const auto &[name, service] : m_referenceState.config().services()) {
        const auto version = m_referenceState.config().versionOf(name);
        if (version != before.versionOf(name)) {
            m_oracle.onPublication(name, version, visibleAt);
        }
    }
    for (const auto &account : m_assistant.accounts) {
        const auto *const known = m_referenceState.config().findAccount(account.name);
        const auto *const previous = before.findAccount(account.name);
        if (known != nullptr && (previous == nullptr || previous->limit != known->limit)) {
            m_oracle.onLimitPublished(account.name, known->limit, m_clock.now());
        }
    }
    for (std::size_t key = 0; key < m_keyTexts.size(); ++key) {
        const auto digest = digestOf(m_keyTexts[key]);
        if (before.findKey(digest) && !m_referenceState.config().findKey(digest)) {
            m_oracle.onKeyWithdrawn(static_cast<int>(key), visibleAt);
        } else if (m_referenceState.config().findKey(digest)) {
            m_oracle.onKeyRestored(static_cast<int>(key));
        }
    }
    for (const auto &endpoint : m_endpoints) {
        const auto &name = endpoint->description.name;
        const auto *const known = m_referenceState.config().findEndpoint(name);
        if (known != nullptr && known->condition == endpoint_condition::Leaving) {
            m_oracle.onLeaving(name, visibleAt);
        } else if (known != nullptr) {
            m_oracle.onReturned(name);
        }
    }
}

void world::execute(simulated_vm &vm, const append_log &value)
{
    ++m_traffic.appends;
    const auto startNumber = vm.startNumber;
    const auto answer = [this, &vm, startNumber, append = value.append](std::optional<log_offset> offset, bool mayBeCommitted) {
        deliver(vm, startNumber, append_answer{append, offset, mayBeCommitted});
    };
    if (m_logDownUntil > m_clock.now() || !logReachable(vm)) {
        scheduleAfter(milliseconds(5), [answer] { answer(std::nullopt, false); });
        return;
    }
    const auto delay = m_logDelay + jitter(milliseconds(2), milliseconds(6));
    if (m_appendDelay > duration{}) {
        scheduleAfter(std::exchange(m_appendDelay, duration{}), [this, payload = value.payload] { appendEntry(payload); });
        scheduleAfter(delay, [answer] { answer(std::nullopt, true); });
        return;
    }
    scheduleAfter(delay, [this, answer, payload = value.payload] {
        const auto offset = m_logFirst + m_log.size();
        appendEntry(payload);
        const bool lost = m_appendAnswersToLose > 0;
        m_appendAnswersToLose -= lost ? 1 : 0;
        scheduleAfter(milliseconds(2), [answer, offset, lost] { answer(lost ? std::nullopt : std::optional(offset), true); });
    });
}

void world::answerLogRead(simulated_vm &vm, std::uint64_t startNumber, time_point sentAt, log_offset from)
{
    if (from < m_logFirst) {
        deliver(vm, startNumber, log_read_failed{sentAt, true, m_logFirst});
        return;
    }
    log_read message{sentAt, m_logFirst, m_logFirst + m_log.size(), {}};
    for (auto offset = from; offset < message.head; ++offset) {
        message.entries.push_back(m_log[offset - m_logFirst]);
    }
    deliver(vm, startNumber, std::move(message));
}

void world::execute(simulated_vm &vm, const read_log &value)
{
    ++m_traffic.reads;
    const auto startNumber = vm.startNumber;
    const auto sentAt = vm.clock->now();
    const auto deadline = m_clock.now() + value.wait;
    // Polls the fake log until an entry arrives, the time to wait has passed or the log fails.
    auto poll = std::make_shared<std::function<void()>>();
    *poll = [this, &vm, startNumber, sentAt, deadline, from = value.from, weak = std::weak_ptr(poll)] {
        if (m_logDownUntil > m_clock.now() || !logReachable(vm)) {
            deliver(vm, startNumber, log_read_failed{sentAt, false, 0});
            return;
        }
        if (from < m_logFirst + m_log.size() || m_clock.now() >= deadline) {
            answerLogRead(vm, startNumber, sentAt, from);
            return;
        }
        scheduleAfter(milliseconds(5), [self = weak.lock()] { (*self)(); });
    };
    scheduleAfter(m_logDelay + jitter(milliseconds(1), milliseconds(4)), [poll] { (*poll)(); });
}

vm_list world::currentVmList() const
{
    vm_list list;
    for (const auto &vm : m_vms) {
        if (vm->listed) {
            list.vms.push_back({vm->name, vm->address(), vm->dataCentre, vm->stopping ? vm_condition::Leaving : vm_condition::Live});
        }
    }
    return list;
}

void world::execute(simulated_vm &vm, const read_vm_list &)
{
    scheduleAfter(milliseconds(3), [this, &vm, startNumber = vm.startNumber] { deliver(vm, startNumber, currentVmList()); });
}

void world::logDown(duration time)
{
    m_logDownUntil = std::max(m_logDownUntil, m_clock.now() + time);
    m_oracle.onLogOutage(m_clock.now(), m_logDownUntil, maxLogReadTime + m_logDelay);
    scheduleAt(m_logDownUntil, [this] { m_oracle.onFaultsEnded(m_clock.now()); });
}

void world::setLogDelay(duration delay)
{
    m_logDelay = delay;
}

void world::loseAppendAnswers(int count)
{
    m_appendAnswersToLose = count;
}

void world::delayAppend(duration time)
{
    m_appendDelay = time;
}

void world::truncateLog()
{
    const auto keep = m_log.size() / 2;
    m_logFirst += m_log.size() - keep;
    m_log.erase(m_log.begin(), m_log.end() - static_cast<std::ptrdiff_t>(keep));
}

// The network.

bool world::connected(const simulated_vm &a, const simulated_vm &b) const
{
    return !m_isolatedDataCentre || (a.dataCentreNumber == *m_isolatedDataCentre) == (b.dataCentreNumber == *m_isolatedDataCentre);
}

void world::countMessage(const peer_message &message)
{
    const auto number = m_traffic.peerMessages++;
    if (!m_settings.measure) {
        return;
    }
    ++m_traffic.byMethod[std::string(methodOf(message.body))];
    if (number % sizeSampleInterval == 0) {
        m_traffic.peerBytes += sizeSampleInterval * toJson(message).dump().size();
    }
}

void world::execute(simulated_vm &vm, const send_peer &value)
{
    countMessage(value.message);
    auto *const target = findVm(value.to);
    if (target == nullptr || target->address() != value.address || !connected(vm, *target) || chance(m_network.drop)) {
        return;
    }
    const int copies = chance(m_network.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay = jitter(std::chrono::microseconds(300), milliseconds(2)) + jitter(duration{}, m_network.extraDelay);
        // A message is dropped if its receiver restarts before it arrives, as the connection ends with the process.
        scheduleAfter(delay,
                      [this, target, startNumber = target->startNumber, message = value.message] { deliver(*target, startNumber, peer_received{message}); });
    }
}

void world::setNetwork(network_faults faults)
{
    m_network = faults;
    m_oracle.onFaultsEnded(m_clock.now());
}

void world::partition(int dataCentre, bool logOnIsolatedSide, duration time)
{
    // A new partition ends the previous one.
    m_oracle.onFaultsEnded(m_clock.now());
    m_isolatedDataCentre = dataCentre % m_settings.dataCentres;
    m_logOnIsolatedSide = logOnIsolatedSide;
    m_partitionEnd = m_clock.now() + time;
    scheduleAt(m_partitionEnd, [this, end = m_partitionEnd] {
        if (m_partitionEnd == end) {
            m_isolatedDataCentre.reset();
            m_oracle.onFaultsEnded(m_clock.now());
        }
    });
}

// Operators.

void world::publish(service_config service, std::uint64_t base, const std::string &author)
{
    if (m_logDownUntil > m_clock.now()) {
        return;
    }
    log_record record;
    record.id = {incarnation_id{vm_name{author}, 1}, m_publicationCount++};
    nlohmann::json content;
    toJson(content, service);
    record.body = publication{std::move(service), base, author, std::to_string(stableHash(content.dump())), false};
    scheduleAfter(milliseconds(5), [this, payload = encodeBatch({record})] { appendEntry(payload); });
}

void world::publishAssistant()
{
    publish(m_assistant, m_referenceState.config().versionOf(m_assistant.name), "operator");
}

void world::publishRota()
{
    publish(m_rota, m_referenceState.config().versionOf(m_rota.name), "operator");
}

void world::withdrawKey(int key)
{
    const auto digest = digestOf(m_keyTexts[key]);
    std::erase_if(m_assistant.keys, [&](const account_key &entry) { return entry.digest == digest; });
    publishAssistant();
}

void world::restoreKey(int key)
{
    const auto digest = digestOf(m_keyTexts[key]);
    const bool present = std::any_of(m_assistant.keys.begin(), m_assistant.keys.end(), [&](const account_key &entry) { return entry.digest == digest; });
    if (!present) {
        m_assistant.keys.push_back({"key-" + std::to_string(key), digest, m_keyAccounts[key]});
        publishAssistant();
    }
}

void world::setLimit(int account, std::int64_t rate, std::int64_t burst)
{
    m_assistant.accounts[account].limit = {rate * microTokensPerRequest, burst * microTokensPerRequest};
    publishAssistant();
}

void world::drainEndpoint(int number)
{
    const auto &name = m_endpoints[number % m_endpoints.size()]->description.name;
    for (auto *service : {&m_assistant, &m_rota}) {
        for (auto &entry : service->endpoints) {
            if (entry.name == name) {
                entry.condition = endpoint_condition::Leaving;
                publish(*service, m_referenceState.config().versionOf(service->name), "operator");
            }
        }
    }
}

void world::returnEndpoint(int number)
{
    const auto &name = m_endpoints[number % m_endpoints.size()]->description.name;
    for (auto *service : {&m_assistant, &m_rota}) {
        for (auto &entry : service->endpoints) {
            if (entry.name == name) {
                entry.condition = endpoint_condition::Ready;
                publish(*service, m_referenceState.config().versionOf(service->name), "operator");
            }
        }
    }
}

void world::race()
{
    auto first = m_rota;
    auto second = m_rota;
    first.fairness = 0.3;
    second.fairness = 0.7;
    const auto base = m_referenceState.config().versionOf(m_rota.name);
    publish(std::move(first), base, "operator-1");
    publish(std::move(second), base, "operator-2");
}

} // namespace plantainpoint::fuzz
