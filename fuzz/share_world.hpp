// VMs, a fake log and a faulty network in virtual time, and the checks on them
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
    duration delay = millisecond; // the longest; the order of messages is not kept
};

enum class traffic : std::uint8_t {
    None,
    Light, // about a fifth of the rate at each VM
    Greedy, // all that is admitted
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
        m_seats.resize(settings.vms);
        for (std::size_t i = 0; i < settings.vms; ++i) {
            // within half of the clock rate error on either side of true time
            m_seats[i].partsPerMillion = settings.skewClocks ? static_cast<std::int64_t>(m_random() % 1001) - 500 : 0;
            start(i);
        }
    }

    // faults
    void pause(std::size_t i, duration by) { m_seats[i].pausedUntil = std::max(m_seats[i].pausedUntil, m_clock.now() + by); }
    void kill(std::size_t i)
    {
        m_seats[i].vm.reset();
        m_seats[i].inbox.clear();
    }
    // a new incarnation after a kill
    void start(std::size_t i)
    {
        auto &seat = m_seats[i];
        if (seat.vm) {
            return;
        }
        seat.incarnation = seat.incarnation + 1000;
        seat.pausedUntil = {};
        seat.listed = true;
        const epoch_member self{{nameOf(i), seat.incarnation}, data_centre_name{"dc-" + std::to_string(i % 3)}, region_name{"r"}, "127.0.0.1:1"};
        seat.vm = std::make_unique<vm_type>(self, m_clock, seat.partsPerMillion);
        seat.nextRead = m_clock.now();
        seat.vm->onVmList(list());
    }
    // the platform's list forgets a VM that is gone
    void unlist(std::size_t i)
    {
        if (!m_seats[i].vm) {
            m_seats[i].listed = false;
        }
    }
    void leave(std::size_t i)
    {
        if (m_seats[i].vm) {
            m_seats[i].vm->leave();
        }
    }
    // VMs whose bit differs do not hear each other
    void partition(unsigned sides) { m_sides = sides; }
    void setLogDown(bool down) { m_logDown = down; }
    // VMs whose bit is set do not reach the log
    void cutFromLog(unsigned vms) { m_cutFromLog = vms; }
    void setNetwork(const network_faults &faults) { m_faults = faults; }
    // appended records take effect this much later
    void setAppendDelay(duration delay) { m_appendDelay = delay; }
    void setTraffic(std::size_t i, std::size_t account, traffic kind) { m_seats[i].load[account] = kind; }

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
        m_sides = 0;
        m_cutFromLog = 0;
        m_logDown = false;
        m_faults = {};
        m_appendDelay = {};
        for (std::size_t i = 0; i < m_seats.size(); ++i) {
            m_seats[i].pausedUntil = {};
            m_seats[i].load.clear();
            start(i);
        }
    }

    void advance(duration by)
    {
        const auto end = m_clock.now() + by;
        while (m_clock.now() < end && m_violation.empty()) {
            const auto slot = std::min(end, m_clock.now() + slotTime);
            deliverUntil(slot);
            m_clock.advanceTo(slot);
            for (std::size_t i = 0; i < m_seats.size(); ++i) {
                step(i);
            }
            checkShares();
        }
    }

    // empty while every check holds
    const std::string &violation() const { return m_violation; }
    std::uint64_t admitted() const { return m_admitted; }

    // after a long quiet time every part of each limit is held by a member again
    void checkNothingLost()
    {
        for (std::size_t a = 0; a < m_oracles.size() && m_violation.empty(); ++a) {
            const auto held = heldOf(m_service.accounts[a].name, false);
            if (held.rate != limitUnits || held.capacity != limitUnits) {
                m_violation = "capacity of " + m_service.accounts[a].name.value + " is lost";
                describeHolders(m_service.accounts[a].name);
            }
        }
    }

private:
    static constexpr duration slotTime = 10 * millisecond;
    static constexpr duration readInterval = std::chrono::milliseconds(500);
    // one burst of a greedy caller
    static constexpr int greedyAttempts = 200;

    struct seat {
        std::unique_ptr<vm_type> vm;
        std::uint64_t incarnation = 0;
        std::int64_t partsPerMillion = 0;
        time_point pausedUntil{};
        bool listed = true;
        time_point nextRead{};
        std::deque<std::function<void(vm_type &)>> inbox; // arrivals during a pause
        std::map<std::size_t, traffic> load;
    };

    // something that happens at a time: a message arrives, a read is answered, an append takes effect
    struct event {
        time_point at{};
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event &other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    static vm_name nameOf(std::size_t i) { return vm_name{"vm-" + std::to_string(i)}; }

    vm_list list() const
    {
        vm_list all;
        for (std::size_t i = 0; i < m_seats.size(); ++i) {
            if (m_seats[i].listed) {
                all.vms.push_back(vm_entry{nameOf(i), "127.0.0.1:1", data_centre_name{"dc-" + std::to_string(i % 3)}, vm_condition::Live});
            }
        }
        return all;
    }

    std::size_t indexOf(const vm_name &name) const { return std::stoul(name.value.substr(3)); }
    bool paused(const seat &one) const { return one.pausedUntil > m_clock.now(); }
    bool sameSide(std::size_t a, std::size_t b) const { return ((m_sides >> a) & 1U) == ((m_sides >> b) & 1U); }
    bool reachesLog(std::size_t i) const { return !m_logDown && ((m_cutFromLog >> i) & 1U) == 0; }
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    duration anyDelay() { return duration{static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(m_faults.delay.count()))} + millisecond / 2; }

    void schedule(time_point at, std::function<void()> run) { m_events.push(event{at, ++m_order, std::move(run)}); }

    void deliverUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().at <= end && m_violation.empty()) {
            const auto next = m_events.top();
            m_events.pop();
            m_clock.advanceTo(next.at);
            next.run();
        }
    }

    // a paused VM keeps its arrivals in buffers and handles them when it resumes
    void give(std::size_t i, std::uint64_t incarnation, std::function<void(vm_type &)> action)
    {
        auto &one = m_seats[i];
        if (!one.vm || one.incarnation != incarnation) {
            return;
        }
        if (paused(one)) {
            one.inbox.push_back(std::move(action));
            return;
        }
        action(*one.vm);
        collect(i);
    }

    void step(std::size_t i)
    {
        auto &one = m_seats[i];
        if (!one.vm || paused(one)) {
            return;
        }
        // a VM that resumes may admit before it reads what has arrived
        sendTraffic(i);
        while (!one.inbox.empty()) {
            const auto action = std::move(one.inbox.front());
            one.inbox.pop_front();
            action(*one.vm);
            collect(i);
        }
        if (m_clock.now() >= one.nextRead) {
            one.nextRead = m_clock.now() + readInterval;
            one.vm->onVmList(list());
            readLog(i);
        }
        one.vm->tick();
        collect(i);
        sendTraffic(i);
    }

    void readLog(std::size_t i)
    {
        const auto incarnation = m_seats[i].incarnation;
        const auto sentAt = m_seats[i].vm->now();
        if (!reachesLog(i)) {
            schedule(m_clock.now() + anyDelay(), [=, this] { give(i, incarnation, [](vm_type &vm) { vm.onLogDown(); }); });
            return;
        }
        schedule(m_clock.now() + millisecond, [=, this] {
            const auto head = m_log.size();
            schedule(m_clock.now() + anyDelay(), [=, this] {
                give(i, incarnation, [=, this](vm_type &vm) {
                    vm.onLog(m_log, head, sentAt);
                    refreshLimits();
                });
            });
        });
    }

    void collect(std::size_t i)
    {
        auto &vm = *m_seats[i].vm;
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
        if (to >= m_seats.size() || !sameSide(from, to) || chance(m_faults.dropPercent)) {
            return;
        }
        const int copies = chance(m_faults.duplicatePercent) ? 2 : 1;
        const auto incarnation = m_seats[to].incarnation;
        for (int copy = 0; copy < copies; ++copy) {
            schedule(m_clock.now() + anyDelay(), [=, this, body = message.message] { give(to, incarnation, [=](vm_type &vm) { vm.onPeer(body); }); });
        }
    }

    void sendTraffic(std::size_t i)
    {
        for (const auto &[account, kind] : m_seats[i].load) {
            const int attempts = kind == traffic::Greedy ? greedyAttempts : kind == traffic::Light && chance(20) ? 1 : 0;
            for (int n = 0; n < attempts && tryAdmit(i, account); ++n) { }
            collect(i);
        }
    }

    bool tryAdmit(std::size_t i, std::size_t account)
    {
        admission verdict{};
        if (!m_seats[i].vm->admit(m_service.accounts[account].name, verdict)) {
            return false;
        }
        ++m_admitted;
        if (!m_oracles[account].admit(m_clock.now()) && m_violation.empty()) {
            m_violation = "bound of account-" + std::to_string(account) + " exceeded at vm-" + std::to_string(i);
        }
        return true;
    }

    // a lowered limit binds once every running VM has applied it
    void refreshLimits()
    {
        auto oldest = m_published.size();
        for (const auto &one : m_seats) {
            if (one.vm) {
                oldest = std::min<std::size_t>(oldest, std::max<std::uint64_t>(1, one.vm->version()));
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

    limit_share heldOf(const account_name &account, bool withLeaseOnly) const
    {
        limit_share sum;
        for (const auto &one : m_seats) {
            if (!one.vm || (withLeaseOnly && !one.vm->holdsLease())) {
                continue;
            }
            const auto &rows = one.vm->shares().accounts();
            if (const auto row = rows.find(account); row != rows.end()) {
                sum.rate += row->second.bucketShare.rateUnits();
                sum.capacity += row->second.bucketShare.capacityUnits();
            }
        }
        return sum;
    }

    // state of every running VM, for the report of a violation
    void describeHolders(const account_name &account)
    {
        for (const auto &one : m_seats) {
            if (one.vm) {
                const auto row = one.vm->shares().status()[account.value];
                m_violation += "\n  " + toString(one.vm->self()) + (one.vm->holdsLease() ? " permitted" : " no permit") + ", epoch "
                               + std::to_string(one.vm->epoch().number) + ", version " + std::to_string(one.vm->version()) + ": " + row.dump();
            }
        }
    }

    // conservation: the bucket shares that can admit never exceed the limit
    void checkShares()
    {
        for (std::size_t a = 0; a < m_oracles.size() && m_violation.empty(); ++a) {
            const auto held = heldOf(m_service.accounts[a].name, true);
            if (held.rate > limitUnits || held.capacity > limitUnits) {
                m_violation = "slices of account-" + std::to_string(a) + " exceed its limit";
                describeHolders(m_service.accounts[a].name);
            }
        }
    }

    manual_clock m_clock;
    std::mt19937_64 m_random;
    service_config m_service;
    std::vector<world_record> m_log;
    std::vector<std::vector<rate_limit>> m_published; // limits by version, the first is version 1
    std::vector<rate_oracle> m_oracles;
    std::vector<seat> m_seats;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    unsigned m_sides = 0;
    unsigned m_cutFromLog = 0;
    bool m_logDown = false;
    network_faults m_faults;
    duration m_appendDelay{};
    std::string m_violation;
    std::uint64_t m_admitted = 0;
};

} // namespace plantainpoint::fuzz
