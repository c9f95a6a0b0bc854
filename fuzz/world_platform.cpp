// log, VM list, network and operators of the world
#include "world_hosts.hpp"

namespace plantainpoint::fuzz {

// --- the log

bool world::logReachable(const vm_host &host) const
{
    if (!m_cutOff) {
        return true;
    }
    const bool onCutSide = host.dataCentreNumber == *m_cutOff;
    return onCutSide == m_logOnCutSide;
}

void world::appendEntry(std::string payload)
{
    log_entry entry{m_logFirst + m_log.size(), std::move(payload)};
    m_log.push_back(entry);
    const auto before = m_reference.config();
    // an entry that lands in an outage can be read at its end
    const auto visibleAt = std::max(m_clock.now(), m_logDownUntil);
    if (!m_reference.applyEntry(entry).ok()) {
        return;
    }
    for (const auto &[name, service] : m_reference.config().services()) {
        const auto version = m_reference.config().versionOf(name);
        if (version != before.versionOf(name)) {
            m_oracle.onPublication(name, version, visibleAt);
        }
    }
    for (const auto &account : m_assistant.accounts) {
        const auto *const known = m_reference.config().findAccount(account.name);
        const auto *const previous = before.findAccount(account.name);
        if (known != nullptr && (previous == nullptr || previous->limit != known->limit)) {
            m_oracle.onLimit(account.name, known->limit, m_clock.now());
        }
    }
    for (std::size_t key = 0; key < m_keyTexts.size(); ++key) {
        const auto digest = digestOf(m_keyTexts[key]);
        if (before.findKey(digest) && !m_reference.config().findKey(digest)) {
            m_oracle.onKeyWithdrawn(static_cast<int>(key), visibleAt);
        } else if (m_reference.config().findKey(digest)) {
            m_oracle.onKeyRestored(static_cast<int>(key));
        }
    }
    for (const auto &engine : m_engines) {
        const auto &name = engine->description.name;
        const auto *const known = m_reference.config().findEndpoint(name);
        if (known != nullptr && known->condition == endpoint_condition::Leaving) {
            m_oracle.onLeaving(name, visibleAt);
        } else if (known != nullptr) {
            m_oracle.onReturned(name);
        }
    }
}

void world::execute(vm_host &host, const append_log &value)
{
    ++m_traffic.appends;
    const auto life = host.life;
    const auto answer = [this, &host, life, append = value.append](std::optional<log_offset> offset, bool mayBeCommitted) {
        deliver(host, life, append_answer{append, offset, mayBeCommitted});
    };
    if (m_logDownUntil > m_clock.now() || !logReachable(host)) {
        after(milliseconds(5), [answer] { answer(std::nullopt, false); });
        return;
    }
    const auto delay = m_logDelay + jitter(milliseconds(2), milliseconds(6));
    if (m_appendDelay > duration{}) {
        after(std::exchange(m_appendDelay, duration{}), [this, payload = value.payload] { appendEntry(payload); });
        after(delay, [answer] { answer(std::nullopt, true); });
        return;
    }
    after(delay, [this, answer, payload = value.payload] {
        const auto offset = m_logFirst + m_log.size();
        appendEntry(payload);
        const bool lost = m_answersToLose > 0;
        m_answersToLose -= lost ? 1 : 0;
        after(milliseconds(2), [answer, offset, lost] { answer(lost ? std::nullopt : std::optional(offset), true); });
    });
}

void world::answerRead(vm_host &host, std::uint64_t life, time_point sentAt, log_offset from)
{
    if (from < m_logFirst) {
        deliver(host, life, log_read_failed{sentAt, true, m_logFirst});
        return;
    }
    log_read message{sentAt, m_logFirst, m_logFirst + m_log.size(), {}};
    for (auto offset = from; offset < message.head; ++offset) {
        message.entries.push_back(m_log[offset - m_logFirst]);
    }
    deliver(host, life, std::move(message));
}

void world::execute(vm_host &host, const read_log &value)
{
    ++m_traffic.reads;
    const auto life = host.life;
    const auto sentAt = host.clock->now();
    const auto deadline = m_clock.now() + value.wait;
    // polls the fake log until an entry arrives, the wait is over or the log fails
    auto poll = std::make_shared<std::function<void()>>();
    *poll = [this, &host, life, sentAt, deadline, from = value.from, weak = std::weak_ptr(poll)] {
        if (m_logDownUntil > m_clock.now() || !logReachable(host)) {
            deliver(host, life, log_read_failed{sentAt, false, 0});
            return;
        }
        if (from < m_logFirst + m_log.size() || m_clock.now() >= deadline) {
            answerRead(host, life, sentAt, from);
            return;
        }
        after(milliseconds(5), [self = weak.lock()] { (*self)(); });
    };
    after(m_logDelay + jitter(milliseconds(1), milliseconds(4)), [poll] { (*poll)(); });
}

vm_list world::currentList() const
{
    vm_list list;
    for (const auto &host : m_vms) {
        if (host->listed) {
            list.vms.push_back({host->name, host->address(), host->dataCentre, host->stopping ? vm_condition::Leaving : vm_condition::Live});
        }
    }
    return list;
}

void world::execute(vm_host &host, const read_vm_list &)
{
    after(milliseconds(3), [this, &host, life = host.life] { deliver(host, life, currentList()); });
}

void world::logDown(duration time)
{
    m_logDownUntil = std::max(m_logDownUntil, m_clock.now() + time);
    m_oracle.onLogDown(m_clock.now(), m_logDownUntil, longestRead + m_logDelay);
    at(m_logDownUntil, [this] { m_oracle.onHealed(m_clock.now()); });
}

void world::logSlow(duration delay)
{
    m_logDelay = delay;
}

void world::loseAppendAnswers(int count)
{
    m_answersToLose = count;
}

void world::delayAppend(duration time)
{
    m_appendDelay = time;
}

void world::expireLog()
{
    const auto keep = m_log.size() / 2;
    m_logFirst += m_log.size() - keep;
    m_log.erase(m_log.begin(), m_log.end() - static_cast<std::ptrdiff_t>(keep));
}

// --- the network

bool world::connected(const vm_host &a, const vm_host &b) const
{
    return !m_cutOff || (a.dataCentreNumber == *m_cutOff) == (b.dataCentreNumber == *m_cutOff);
}

void world::countMessage(const peer_message &message)
{
    const auto number = m_traffic.peerMessages++;
    if (!m_settings.measure) {
        return;
    }
    ++m_traffic.byMethod[std::string(methodOf(message.body))];
    if (number % sizeSample == 0) {
        m_traffic.peerBytes += sizeSample * toJson(message).dump().size();
    }
}

void world::execute(vm_host &host, const send_peer &value)
{
    countMessage(value.message);
    auto *const target = hostOf(value.to);
    if (target == nullptr || target->address() != value.address || !connected(host, *target) || chance(m_network.drop)) {
        return;
    }
    const int copies = chance(m_network.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay = jitter(std::chrono::microseconds(300), milliseconds(2)) + jitter(duration{}, m_network.extraDelay);
        // a message waits for the VM's next life no longer than its connection lives
        after(delay, [this, target, life = target->life, message = value.message] { deliver(*target, life, peer_received{message}); });
    }
}

void world::setNetwork(network_faults faults)
{
    m_network = faults;
    m_oracle.onHealed(m_clock.now());
}

void world::partition(int dataCentre, bool logOnItsSide, duration time)
{
    // a new partition ends the one before
    m_oracle.onHealed(m_clock.now());
    m_cutOff = dataCentre % m_settings.dataCentres;
    m_logOnCutSide = logOnItsSide;
    m_partitionEnd = m_clock.now() + time;
    at(m_partitionEnd, [this, end = m_partitionEnd] {
        if (m_partitionEnd == end) {
            m_cutOff.reset();
            m_oracle.onHealed(m_clock.now());
        }
    });
}

// --- operators

void world::publish(service_config service, std::uint64_t base, const std::string &author)
{
    if (m_logDownUntil > m_clock.now()) {
        return;
    }
    log_record record;
    record.id = {incarnation_id{vm_name{author}, 1}, m_publications++};
    nlohmann::json content;
    toJson(content, service);
    record.body = publication{std::move(service), base, author, std::to_string(stableHash(content.dump())), false};
    after(milliseconds(5), [this, payload = encodeBatch({record})] { appendEntry(payload); });
}

void world::publishAssistant()
{
    publish(m_assistant, m_reference.config().versionOf(m_assistant.name), "operator");
}

void world::publishRota()
{
    publish(m_rota, m_reference.config().versionOf(m_rota.name), "operator");
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

void world::drainEndpoint(int endpoint)
{
    const auto &name = m_engines[endpoint % m_engines.size()]->description.name;
    for (auto *service : {&m_assistant, &m_rota}) {
        for (auto &entry : service->endpoints) {
            if (entry.name == name) {
                entry.condition = endpoint_condition::Leaving;
                publish(*service, m_reference.config().versionOf(service->name), "operator");
            }
        }
    }
}

void world::returnEndpoint(int endpoint)
{
    const auto &name = m_engines[endpoint % m_engines.size()]->description.name;
    for (auto *service : {&m_assistant, &m_rota}) {
        for (auto &entry : service->endpoints) {
            if (entry.name == name) {
                entry.condition = endpoint_condition::Ready;
                publish(*service, m_reference.config().versionOf(service->name), "operator");
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
    const auto base = m_reference.config().versionOf(m_rota.name);
    publish(std::move(first), base, "operator-1");
    publish(std::move(second), base, "operator-2");
}

} // namespace plantainpoint::fuzz
