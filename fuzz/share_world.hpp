// Simulates VMs, a log and a faulty network in virtual time, and checks the bounds of the accounts.
#pragma once

#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>

#include "rate_oracle.hpp"
#include "share_vm.hpp"

namespace plantainpoint::fuzz {

inline constexpr duration millisecond = std::chrono::milliseconds(1);

struct network_faults {
    int dropPercent = 0;
    int duplicatePercent = 0;
    duration delay = millisecond; // Longest delay. Messages may be reordered.
};

enum class traffic : std::uint8_t {
    None,
    Light, // Each call of sendTraffic makes one attempt with a chance of 20%, about 40 requests per second for an account at each VM.
    Greedy, // Sends until a request is not admitted.
};

struct world_settings {
    std::size_t vms = 5;
    std::vector<rate_limit> limits;
    std::uint64_t seed = 1;
    bool skewClocks = true;
};

template<class Rules>
class share_world
{
public:
    using vm_type = share_vm<Rules>;

    explicit share_world(const world_settings &settings)
        : m_random(settings.seed)
    {
        for (std::size_t i = 0; i < settings.limits.size(); ++i) {
            m_service.accounts.push_back(client_account{account_name{"account-" + std::to_string(i)}, settings.limits[i]});
            m_oracles.emplace_back(settings.limits[i]);
        }
        m_service.name = service_name{"service"};
        m_log.emplace_back(m_service);
        m_published.push_back(settings.limits);
        m_slots.resize(settings.vms);
        for (std::size_t i = 0; i < settings.vms; ++i) {
            // Each clock deviates from true time by at most half of the allowed clock rate error.
            m_slots[i].partsPerMillion = settings.skewClocks ? static_cast<std::int64_t>(m_random() % 1001) - 500 : 0;
            start(i);
        }
    }

    // Pauses a VM. A longer pause that is in force stays.
    void pause(std::size_t i, duration time) { m_slots[i].pausedUntil = std::max(m_slots[i].pausedUntil, m_clock.now() + time); }
    void kill(std::size_t i)
    {
        m_slots[i].vm.reset();
        m_slots[i].inbox.clear();
    }
    // Starts a new incarnation after a kill.
    void start(std::size_t i)
    {
        auto &slot = m_slots[i];
        if (slot.vm) {
            return;
        }
        slot.incarnation = slot.incarnation + 1000;
        slot.pausedUntil = {};
        slot.listed = true;
        const epoch_member self{{nameOf(i), slot.incarnation}, data_centre_name{"dc-" + std::to_string(i % 3)}, region_name{"r"}, "127.0.0.1:1"};
        slot.vm = std::make_unique<vm_type>(self, m_clock, slot.partsPerMillion);
        slot.nextRead = m_clock.now();
        slot.vm->onVmList(currentVmList());
    }
    // Removes a VM that does not run from the platform's VM list.
    void unlist(std::size_t i)
    {
        if (!m_slots[i].vm) {
            m_slots[i].listed = false;
        }
    }
    void leave(std::size_t i)
    {
        if (m_slots[i].vm) {
            m_slots[i].vm->leave();
        }
    }
    // VMs whose bits differ do not receive each other's messages.
    void partition(unsigned sideMask) { m_sideMask = sideMask; }
    void setLogDown(bool down) { m_logDown = down; }
    // VMs whose bit is set do not reach the log.
    void cutFromLog(unsigned vms) { m_logCutMask = vms; }
    void setNetwork(const network_faults &faults) { m_faults = faults; }
    // Delays the effect of appended records.
    void setAppendDelay(duration delay) { m_appendDelay = delay; }
    void setTraffic(std::size_t i, std::size_t account, traffic kind) { m_slots[i].trafficByAccount[account] = kind; }

    void publish(std::size_t account, rate_limit limit)
    {
        if (m_logDown) {
            return;
        }
        m_service.accounts[account].limit = limit;
        m_log.emplace_back(m_service);
        auto limits = m_published.back();
        limits[account] = limit;
        m_published.push_back(limits);
        refreshLimits();
    }

    void heal()
    {
        m_sideMask = 0;
        m_logCutMask = 0;
        m_logDown = false;
        m_faults = {};
        m_appendDelay = {};
        for (std::size_t i = 0; i < m_slots.size(); ++i) {
            m_slots[i].pausedUntil = {};
            m_slots[i].trafficByAccount.clear();
            start(i);
        }
    }

    void advance(duration time)
    {
        const auto end = m_clock.now() + time;
        while (m_clock.now() < end && m_violation.empty()) {
            const auto stepEnd = std::min(end, m_clock.now() + stepTime);
            runEventsUntil(stepEnd);
            m_clock.advanceTo(stepEnd);
            for (std::size_t i = 0; i < m_slots.size(); ++i) {
                stepVm(i);
            }
            checkShares();
        }
    }

    // Returns the first violation, or an empty text while every check holds.
    const std::string &violation() const { return m_violation; }
    std::uint64_t admitted() const { return m_admitted; }

    // Checks that the running VMs hold the full limit of every account again, which holds a long time after the last fault.
    void checkLimitsFullyHeld()
    {
        for (std::size_t a = 0; a < m_oracles.size() && m_violation.empty(); ++a) {
            const auto held = heldUnits(m_service.accounts[a].name, false);
            if (held.rate != limitUnits || held.capacity != limitUnits) {
                m_violation = "limit of " + m_service.accounts[a].name.value + " is not fully held by the running VMs";
                describeHolders(m_service.accounts[a].name);
            }
        }
    }

private:
    static constexpr duration stepTime = 10 * millisecond;
    static constexpr duration readInterval = std::chrono::milliseconds(500);
    // Highest number of requests in one burst of greedy traffic.
    static constexpr int greedyAttempts = 200;

    struct vm_slot {
        std::unique_ptr<vm_type> vm;
        std::uint64_t incarnation = 0;
        std::int64_t partsPerMillion = 0;
        time_point pausedUntil{};
        bool listed = true;
        time_point nextRead{};
        std::deque<std::function<void(vm_type &)>> inbox; // Messages and answers that arrived during a pause.
        std::map<std::size_t, traffic> trafficByAccount;
    };

    // Event at a point in time: a message arrives, a read is answered, or an append takes effect.
    struct event {
        time_point eventTime{};
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const event &other) const { return std::tie(eventTime, sequence) > std::tie(other.eventTime, other.sequence); }
    };

    static vm_name nameOf(std::size_t i) { return vm_name{"vm-" + std::to_string(i)}; }

    vm_list currentVmList() const
    {
        vm_list all;
        for (std::size_t i = 0; i < m_slots.size(); ++i) {
            if (m_slots[i].listed) {
                all.vms.push_back(vm_entry{nameOf(i), "127.0.0.1:1", data_centre_name{"dc-" + std::to_string(i % 3)}, vm_condition::Live});
            }
        }
        return all;
    }

    std::size_t indexOf(const vm_name &name) const { return std::stoul(name.value.substr(3)); }
    bool paused(const vm_slot &slot) const { return slot.pausedUntil > m_clock.now(); }
    bool sameSide(std::size_t a, std::size_t b) const { return ((m_sideMask >> a) & 1U) == ((m_sideMask >> b) & 1U); }
    bool reachesLog(std::size_t i) const { return !m_logDown && ((m_logCutMask >> i) & 1U) == 0; }
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    duration randomDelay() { return duration{static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(m_faults.delay.count()))} + millisecond / 2; }

    void schedule(time_point eventTime, std::function<void()> run) { m_events.push(event{eventTime, ++m_eventSequence, std::move(run)}); }

    void runEventsUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().eventTime <= end && m_violation.empty()) {
            const auto next = m_events.top();
            m_events.pop();
            m_clock.advanceTo(next.eventTime);
            next.run();
        }
    }

    // Runs the action on the VM. A paused VM queues the action and runs it when it resumes.
    void deliver(std::size_t i, std::uint64_t incarnation, std::function<void(vm_type &)> action)
    {
        auto &slot = m_slots[i];
        if (!slot.vm || slot.incarnation != incarnation) {
            return;
        }
        if (paused(slot)) {
            slot.inbox.push_back(std::move(action));
            return;
        }
        action(*slot.vm);
        processOutput(i);
    }

    void stepVm(std::size_t i)
    {
        auto &slot = m_slots[i];
        if (!slot.vm || paused(slot)) {
            return;
        }
        // A VM that resumes may admit requests before it reads what has arrived.
        sendTraffic(i);
        while (!slot.inbox.empty()) {
            const auto action = std::move(slot.inbox.front());
            slot.inbox.pop_front();
            action(*slot.vm);
            processOutput(i);
        }
        if (m_clock.now() >= slot.nextRead) {
            slot.nextRead = m_clock.now() + readInterval;
            slot.vm->onVmList(currentVmList());
            readLog(i);
        }
        slot.vm->tick();
        processOutput(i);
        sendTraffic(i);
    }

    void readLog(std::size_t i)
    {
        const auto incarnation = m_slots[i].incarnation;
        const auto sentAt = m_slots[i].vm->now();
        if (!reachesLog(i)) {
            schedule(m_clock.now() + randomDelay(), [=, this] { deliver(i, incarnation, [](vm_type &vm) { vm.onLogDown(); }); });
            return;
        }
        schedule(m_clock.now() + millisecond, [=, this] {
            const auto head = m_log.size();
            schedule(m_clock.now() + randomDelay(), [=, this] {
                deliver(i, incarnation, [=, this](vm_type &vm) {
                    vm.onLog(m_log, head, sentAt);
                    refreshLimits();
                });
            });
        });
    }

    void processOutput(std::size_t i)
    {
        auto &vm = *m_slots[i].vm;
        for (auto &item : vm.take()) {
            if (auto *message = std::get_if<send_peer>(&item)) {
                transmit(i, std::move(*message));
            }
        }
        if (const auto proposal = vm.takeProposal(); proposal && reachesLog(i)) {
            schedule(m_clock.now() + millisecond + m_appendDelay, [this, record = *proposal] { m_log.emplace_back(record); });
        }
        for (const auto &account : vm.takeChanged()) {
            (void)account;
        }
    }

    void transmit(std::size_t from, send_peer message)
    {
        const auto to = indexOf(message.to);
        if (to >= m_slots.size() || !sameSide(from, to) || chance(m_faults.dropPercent)) {
            return;
        }
        const int copies = chance(m_faults.duplicatePercent) ? 2 : 1;
        const auto incarnation = m_slots[to].incarnation;
        for (int copy = 0; copy < copies; ++copy) {
            schedule(m_clock.now() + randomDelay(), [=, this, body = message.message] { deliver(to, incarnation, [=](vm_type &vm) { vm.onPeer(body); }); });
        }
    }

    void sendTraffic(std::size_t i)
    {
        for (const auto &[account, kind] : m_slots[i].trafficByAccount) {
            const int attempts = kind == traffic::Greedy ? greedyAttempts : kind == traffic::Light && chance(20) ? 1 : 0;
            for (int n = 0; n < attempts && tryAdmit(i, account); ++n) { }
            processOutput(i);
        }
    }

    bool tryAdmit(std::size_t i, std::size_t account)
    {
        admission verdict{};
        if (!m_slots[i].vm->admit(m_service.accounts[account].name, verdict)) {
            return false;
        }
        ++m_admitted;
        if (!m_oracles[account].admit(m_clock.now()) && m_violation.empty()) {
            m_violation = "bound of account-" + std::to_string(account) + " exceeded at vm-" + std::to_string(i);
        }
        return true;
    }

    // Sets the bounds of the oracles. A lowered limit binds only after every running VM has applied it.
    void refreshLimits()
    {
        auto oldest = m_published.size();
        for (const auto &slot : m_slots) {
            if (slot.vm) {
                oldest = std::min<std::size_t>(oldest, std::max<std::uint64_t>(1, slot.vm->version()));
            }
        }
        for (std::size_t a = 0; a < m_oracles.size(); ++a) {
            rate_limit bound;
            for (auto v = oldest - 1; v < m_published.size(); ++v) {
                bound.rate = std::max(bound.rate, m_published[v][a].rate);
                bound.burst = std::max(bound.burst, m_published[v][a].burst);
            }
            m_oracles[a].setLimit(bound, m_clock.now());
        }
    }

    limit_share heldUnits(const account_name &account, bool withLeaseOnly) const
    {
        limit_share sum;
        for (const auto &slot : m_slots) {
            if (!slot.vm || (withLeaseOnly && !slot.vm->holdsLease())) {
                continue;
            }
            const auto &accounts = slot.vm->shares().accounts();
            if (const auto it = accounts.find(account); it != accounts.end()) {
                sum.rate += it->second.bucketShare.rateUnits();
                sum.capacity += it->second.bucketShare.capacityUnits();
            }
        }
        return sum;
    }

    // Appends the state of every running VM to the violation.
    void describeHolders(const account_name &account)
    {
        for (const auto &slot : m_slots) {
            if (slot.vm) {
                const auto status = slot.vm->shares().status()[account.value];
                m_violation += "\n  " + toString(slot.vm->self()) + (slot.vm->holdsLease() ? " permitted" : " no permit") + ", epoch "
                               + std::to_string(slot.vm->epoch().number) + ", version " + std::to_string(slot.vm->version()) + ": " + status.dump();
            }
        }
    }

    // Checks conservation: the bucket shares that can admit requests never exceed the limit.
    void checkShares()
    {
        for (std::size_t a = 0; a < m_oracles.size() && m_violation.empty(); ++a) {
            const auto held = heldUnits(m_service.accounts[a].name, true);
            if (held.rate > limitUnits || held.capacity > limitUnits) {
                m_violation = "bucket shares of account-" + std::to_string(a) + " exceed its limit";
                describeHolders(m_service.accounts[a].name);
            }
        }
    }

    manual_clock m_clock;
    std::mt19937_64 m_random;
    service_config m_service;
    std::vector<world_record> m_log;
    std::vector<std::vector<rate_limit>> m_published; // Limits by version. The first element is version 1.
    std::vector<rate_oracle> m_oracles;
    std::vector<vm_slot> m_slots;
    std::priority_queue<event> m_events;
    std::uint64_t m_eventSequence = 0;
    unsigned m_sideMask = 0;
    unsigned m_logCutMask = 0;
    bool m_logDown = false;
    network_faults m_faults;
    duration m_appendDelay{};
    std::string m_violation;
    std::uint64_t m_admitted = 0;
};

} // namespace plantainpoint::fuzz
