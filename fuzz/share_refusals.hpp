// Measures the wrongful refusals of the bucket shares and of two baselines in virtual time.
#pragma once

#include <iomanip>
#include <ostream>
#include <queue>
#include <random>

#include "rate_oracle.hpp"
#include "share_vm.hpp"

namespace plantainpoint::fuzz {

enum class arrival_pattern : std::uint8_t {
    Sticky, // All requests of an account arrive at one VM, which changes every ten seconds.
    RandomVm, // Every request arrives at a random VM.
};

struct refusal_case {
    arrival_pattern pattern = arrival_pattern::RandomVm;
    double load = 0.9; // Ratio of the requests per second to the rate limit.
    bool killsOwner = false; // Kills the owner of the largest account.
};

struct refusal_counts {
    std::uint64_t withinLimit = 0; // Requests that one ideal bucket admits.
    std::uint64_t wrongful = 0; // Requests that were refused although one ideal bucket admits them.
    std::uint64_t waited = 0; // Requests that were admitted after a request to the owner.
    double percent() const { return withinLimit == 0 ? 0 : 100.0 * static_cast<double>(wrongful) / static_cast<double>(withinLimit); }
};

struct refusal_result {
    refusal_counts bucketShares;
    refusal_counts staticSplit;
    refusal_counts singleOwner;
};

class refusal_trial
{
public:
    refusal_trial(const refusal_case &refusalCase, std::uint64_t seed)
        : m_case(refusalCase)
        , m_random(seed)
    {
        for (std::size_t a = 0; a < limits().size(); ++a) {
            const auto limit = limits()[a];
            m_service.accounts.push_back(client_account{account_name{"account-" + std::to_string(a)}, limit});
            m_idealBuckets.emplace_back(limit);
            m_splitBuckets.emplace_back(vmCount, rate_oracle(rate_limit{limit.rate / vmCount, limit.burst / vmCount}));
        }
        m_service.name = service_name{"service"};
        epoch_record epoch;
        for (std::size_t i = 0; i < vmCount; ++i) {
            const epoch_member self{{vm_name{"vm-" + std::to_string(i)}, 1}, data_centre_name{"dc"}, region_name{"r"}, "127.0.0.1:1"};
            epoch.members.push_back(self);
            m_vms.push_back(std::make_unique<share_vm<production_rules>>(self, m_clock, 0));
        }
        m_log.emplace_back(m_service);
        m_log.emplace_back(epoch);
        m_pendingRequests.resize(vmCount);
    }

    refusal_result run()
    {
        const auto start = time_point{warmUp};
        for (std::size_t i = 0; i < vmCount; ++i) {
            scheduleTick(i, duration{});
        }
        for (std::size_t a = 0; a < limits().size(); ++a) {
            schedule(time_point{nextGap(a)}, [=, this] { arrive(a); });
        }
        if (m_case.killsOwner) {
            m_killed = accountOwnerOf(0);
            schedule(start + killAfter, [this] { m_vms[m_killed].reset(); });
        }
        while (!m_events.empty() && m_events.top().time < start + measuredTime) {
            const auto next = m_events.top();
            m_events.pop();
            m_clock.advanceTo(next.time);
            next.run();
        }
        return m_result;
    }

private:
    static constexpr std::int64_t vmCount = 7;
    static constexpr duration oneWayDelay = std::chrono::microseconds(500);
    static constexpr duration tickInterval = std::chrono::milliseconds(5);
    // Buckets start empty. Refusals are counted only after the buckets have had time to fill.
    static constexpr duration warmUp = std::chrono::seconds(20);
    static constexpr duration measuredTime = std::chrono::seconds(120);
    static constexpr duration killAfter = std::chrono::seconds(30);
    static constexpr duration stickyPeriod = std::chrono::seconds(10);
    // Same value as in the core.
    static constexpr duration maxWait = std::chrono::milliseconds(250);
    // With a single owner, an account has no limiter from the death of the owner until a new epoch is in force and the old admission lease has expired.
    static constexpr duration ownerOutage = std::chrono::milliseconds(7200);

    struct event {
        time_point time{};
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const event &other) const { return std::tie(time, sequence) > std::tie(other.time, other.sequence); }
    };

    struct pending_request {
        std::size_t account = 0;
        time_point arrivedAt{};
        bool withinLimit = false;
    };

    static const std::vector<rate_limit> &limits()
    {
        constexpr auto request = microTokensPerRequest;
        static const std::vector<rate_limit> limitsByAccount{{400 * request, 200 * request},
                                                             {150 * request, 75 * request},
                                                             {20 * request, 30 * request},
                                                             {5 * request, 20 * request},
                                                             {2 * request, 14 * request}};
        return limitsByAccount;
    }

    bool measuring() const { return m_clock.now() >= time_point{warmUp}; }
    void schedule(time_point time, std::function<void()> run) { m_events.push(event{time, ++m_eventSequence, std::move(run)}); }

    std::size_t accountOwnerOf(std::size_t account) const
    {
        const auto owner = rendezvousOwner(m_service.accounts[account].name.value, std::get<epoch_record>(m_log[1]).members);
        return std::stoul(owner->id.vm.value.substr(3));
    }

    duration nextGap(std::size_t account)
    {
        const double perSecond = m_case.load * static_cast<double>(limits()[account].rate) / microTokensPerRequest;
        std::exponential_distribution<double> gap(perSecond);
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(m_random)));
    }

    std::size_t pickVm(std::size_t account)
    {
        const auto periodNumber = static_cast<std::size_t>(m_clock.now().time_since_epoch() / stickyPeriod);
        auto i = m_case.pattern == arrival_pattern::Sticky ? (account * 3 + periodNumber * 2) % vmCount : m_random() % vmCount;
        while (!m_vms[i]) {
            i = (i + 1) % vmCount;
        }
        return i;
    }

    void arrive(std::size_t account)
    {
        schedule(m_clock.now() + nextGap(account), [=, this] { arrive(account); });
        const auto i = pickVm(account);
        const auto now = m_clock.now();
        const bool withinLimit = m_idealBuckets[account].wouldAdmit(now);
        if (withinLimit) {
            m_idealBuckets[account].admit(now);
        }
        countBaselines(account, i, withinLimit);
        const pending_request request{account, now, withinLimit};
        if (!tryAdmit(i, request, false)) {
            m_pendingRequests[i].push_back(request);
        }
        processOutput(i);
    }

    void countBaselines(std::size_t account, std::size_t i, bool withinLimit)
    {
        const auto now = m_clock.now();
        auto &bucket = m_splitBuckets[account][i];
        const bool splitAdmits = bucket.wouldAdmit(now) && bucket.admit(now);
        const auto sinceKill = now - (time_point{warmUp} + killAfter);
        const bool ownerDown = m_case.killsOwner && accountOwnerOf(account) == m_killed && sinceKill >= duration{} && sinceKill < ownerOutage;
        // The bucket of a single owner is the ideal one, reached half a millisecond later.
        if (measuring() && withinLimit) {
            ++m_result.staticSplit.withinLimit;
            ++m_result.singleOwner.withinLimit;
            m_result.staticSplit.wrongful += splitAdmits ? 0 : 1;
            m_result.singleOwner.wrongful += ownerDown ? 1 : 0;
            m_result.singleOwner.waited += ownerDown || accountOwnerOf(account) == i ? 0 : 1;
        }
    }

    // Returns true if the request was answered, and false if it has to wait.
    bool tryAdmit(std::size_t i, const pending_request &request, bool isRetry)
    {
        admission verdict{};
        m_vms[i]->admit(m_service.accounts[request.account].name, verdict);
        const bool late = m_clock.now() - request.arrivedAt >= maxWait;
        if (verdict == admission::Waiting && !late) {
            return false;
        }
        if (request.withinLimit && measuring()) {
            ++m_result.bucketShares.withinLimit;
            m_result.bucketShares.wrongful += verdict == admission::Admitted ? 0 : 1;
            m_result.bucketShares.waited += verdict == admission::Admitted && isRetry ? 1 : 0;
        }
        return true;
    }

    void scheduleTick(std::size_t i, duration after)
    {
        schedule(m_clock.now() + after, [=, this] {
            if (!m_vms[i]) {
                return;
            }
            auto &vm = *m_vms[i];
            vm.onLog(m_log, m_log.size(), m_clock.now());
            vm.tick();
            processOutput(i);
            scheduleTick(i, tickInterval);
        });
    }

    void processOutput(std::size_t i)
    {
        auto &vm = *m_vms[i];
        vm.runShares();
        for (const auto &name : vm.takeChanged()) {
            retry(i, name);
        }
        vm.runShares();
        if (const auto proposal = vm.takeProposal()) {
            schedule(m_clock.now() + std::chrono::milliseconds(2), [this, record = *proposal] { m_log.emplace_back(record); });
        }
        for (auto &item : vm.take()) {
            if (auto *message = std::get_if<send_peer>(&item)) {
                const auto to = std::stoul(message->to.value.substr(3));
                schedule(m_clock.now() + oneWayDelay, [=, this, body = std::move(message->message)] {
                    if (m_vms[to]) {
                        m_vms[to]->onPeer(body);
                        processOutput(to);
                    }
                });
            }
        }
    }

    void retry(std::size_t i, const account_name &name)
    {
        auto requests = std::exchange(m_pendingRequests[i], {});
        for (const auto &request : requests) {
            if (m_service.accounts[request.account].name != name || !tryAdmit(i, request, true)) {
                m_pendingRequests[i].push_back(request);
            }
        }
    }

    refusal_case m_case;
    std::mt19937_64 m_random;
    manual_clock m_clock;
    service_config m_service;
    std::vector<world_record> m_log;
    std::vector<std::unique_ptr<share_vm<production_rules>>> m_vms;
    std::vector<rate_oracle> m_idealBuckets;
    std::vector<std::vector<rate_oracle>> m_splitBuckets;
    std::vector<std::vector<pending_request>> m_pendingRequests;
    std::priority_queue<event> m_events;
    std::uint64_t m_eventSequence = 0;
    std::size_t m_killed = vmCount;
    refusal_result m_result;
};

// Prints one row per case. Returns true if the bucket shares stay below the target in every case in which no VM is killed.
inline bool measureRefusals(std::ostream &out, std::uint64_t seed)
{
    constexpr double targetPercent = 0.1;
    bool targetReached = true;
    out << "wrongful refusals in percent of the requests that one ideal bucket admits\n";
    out << "arrivals  load  VM killed  requests   shares  waited   static split one owner\n";
    for (const bool killsVm : {false, true}) {
        for (const double load : {0.7, 0.9, 0.98}) {
            for (const auto pattern : {arrival_pattern::Sticky, arrival_pattern::RandomVm}) {
                const auto result = refusal_trial({pattern, load, killsVm}, seed).run();
                const auto &bucketShares = result.bucketShares;
                const double waited =
                    100.0 * static_cast<double>(bucketShares.waited) / static_cast<double>(std::max<std::uint64_t>(1, bucketShares.withinLimit));
                out << std::fixed << std::setprecision(3) << (pattern == arrival_pattern::Sticky ? "sticky  " : "spread  ") << std::setw(6) << load
                    << std::setw(11) << (killsVm ? "yes" : "no") << std::setw(10) << bucketShares.withinLimit << std::setw(9) << bucketShares.percent()
                    << std::setw(8) << waited << std::setw(15) << result.staticSplit.percent() << std::setw(10) << result.singleOwner.percent() << "\n";
                targetReached = targetReached && (killsVm || bucketShares.percent() < targetPercent);
            }
        }
    }
    return targetReached;
}

} // namespace plantainpoint::fuzz
