// A pool of plain endpoints in virtual time, and the VMs or hubs that place requests there with stale knowledge of each other's work.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "endpoint_directory.hpp"
#include "fleet_view.hpp"
#include "relay_placement.hpp"

namespace plantainpoint::test {

using std::chrono::milliseconds;

struct pool_settings {
    int vms = 7;
    int dataCentres = 4;
    bool hubs = true; // One VM of each data centre places. Otherwise every VM places its own requests.
    duration knowledgeAge{}; // Age of the totals of other data centres, or of other VMs, when they arrive.
    double utilisation = 0.5; // Mean fraction of the slots in use, at the usual work time.
    std::vector<double> speeds{1, 1, 1, 1}; // Of each endpoint, as a multiple of the usual one.
    std::int32_t slots = 6;
    std::size_t queueLimit = 24;
    double meanWorkMs = 30;
    duration objective = milliseconds{150};
    endpoint_role role = endpoint_role::Plain;
    bool slowPeriods = true;
    bool reportsWorkTime = true;
    unsigned seed = 1;
    duration time = std::chrono::seconds{15}; // One period of the demand that moves between the data centres.
};

struct pool_result {
    double unevenShare = 0; // Share of the time in which an endpoint is over its slots while another one has free ones.
    double lateShare = 0; // Share of the requests that were answered after their objective, or refused.
    double busiestOverMean = 0; // Busy time of the busiest endpoint over the mean, each in proportion to its speed.
};

// Selects an endpoint for a request.
using pool_choice = std::function<endpoint_entry *(const std::vector<endpoint_entry *> &, const placement_context &, std::mt19937 &)>;

class simulated_pool
{
public:
    simulated_pool(const pool_settings &poolSettings, pool_choice choice)
        : m_settings(poolSettings)
        , m_choice(std::move(choice))
        , m_random(poolSettings.seed)
    {
        for (const double speed : m_settings.speeds) {
            m_endpoints.push_back({.speed = speed});
        }
        const int placers = m_settings.hubs ? m_settings.dataCentres : m_settings.vms;
        for (int i = 0; i < placers; ++i) {
            m_placers.push_back(std::make_unique<placer_state>(fleet_member{{"vm-" + std::to_string(i)}, "10.0.0.1:1", dataCentreOf(i), 1}));
            directory_read read{.whole = true, .position = 1};
            for (std::size_t e = 0; e < m_endpoints.size(); ++e) {
                read.changed.push_back({nameOf(e),
                                        relay_endpoint{.name = nameOf(e),
                                                       .service = {"desk"},
                                                       .address = "10.1.0.1:" + std::to_string(e),
                                                       .dataCentre = dataCentreOf(static_cast<int>(e)),
                                                       .role = m_settings.role,
                                                       .slots = m_settings.slots,
                                                       .startedAt = 1}});
            }
            m_placers.back()->endpoints.onRead(read, m_now);
            std::vector<relay_command> messages;
            m_placers.back()->fleet.exchange({}, m_now, messages); // It is a hub from now on.
        }
    }

    pool_result run()
    {
        const auto start = m_now;
        for (std::size_t e = 0; e < m_endpoints.size() && m_settings.slowPeriods; ++e) {
            schedule(randomTime(usualPeriod), [this, e] { beginSlowPeriod(e); });
        }
        for (std::size_t p = 0; p < m_placers.size(); ++p) {
            schedule(milliseconds{randomBelow(static_cast<int>(updateInterval().count()))}, [this, p] { update(p); });
        }
        schedule({}, [this] { takeSnapshot(); });
        schedule({}, [this, start] { arrive(start); });
        while (!m_events.empty() && m_events.top().at < start + m_settings.time) {
            auto next = m_events.top();
            m_events.pop();
            account(next.at - m_now);
            m_now = next.at;
            next.run();
        }
        double busiest = 0;
        double sum = 0;
        for (const auto &each : m_endpoints) {
            busiest = std::max(busiest, each.busyMs / each.speed);
            sum += each.busyMs / each.speed;
        }
        return {.unevenShare = m_unevenMs / m_totalMs,
                .lateShare = static_cast<double>(m_late) / std::max(m_requests, 1),
                .busiestOverMean = busiest * static_cast<double>(m_endpoints.size()) / sum};
    }

private:
    static constexpr double workSpread = 0.5; // Standard deviation of the logarithm.
    static constexpr double slowFactor = 2.5;
    static constexpr duration slowPeriod = milliseconds{600};
    static constexpr duration usualPeriod = milliseconds{3400}; // Slow periods take 15 % of the time.
    static constexpr duration networkTime = std::chrono::microseconds{700};
    static constexpr duration heartbeatDelay = milliseconds{4};
    static constexpr milliseconds snapshotInterval{10};
    static constexpr std::size_t longestHistory = 110;

    struct event {
        time_point at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator<(const event &other) const { return at != other.at ? at > other.at : number > other.number; }
    };
    struct work {
        std::size_t placer = 0;
        attempt_number attempt = 0;
        time_point arrivedAt{};
        bool atHub = false; // The hub's own request, whose answer the hub reads itself.
    };
    struct endpoint_state {
        double speed = 1;
        int running = 0;
        std::deque<work> queue;
        double factor = 1;
        double busyMs = 0;
    };
    struct placer_state {
        explicit placer_state(const fleet_member &self)
            : dataCentre(self.dataCentre)
            , fleet(self, 1)
        {
        }
        data_centre_name dataCentre;
        endpoint_directory endpoints;
        fleet_view fleet;
        work_time_reports heard; // From the VMs of its data centre.
        std::uint64_t sequence = 0;
    };
    // What a placer has at the endpoints, and the work times that it has heard lately.
    struct snapshot {
        std::vector<endpoint_load> loads;
    };

    static data_centre_name dataCentreOf(int number) { return {"dc-" + std::to_string(number % 4)}; }
    static endpoint_name nameOf(std::size_t number) { return {"desk-" + std::to_string(number)}; }
    milliseconds updateInterval() const { return m_settings.hubs ? milliseconds{50} : milliseconds{150}; }
    int randomBelow(int count) { return std::uniform_int_distribution<int>(0, count - 1)(m_random); }
    duration randomTime(duration mean)
    {
        const std::chrono::duration<double> seconds{std::exponential_distribution<double>(1 / std::chrono::duration<double>(mean).count())(m_random)};
        return std::chrono::duration_cast<duration>(seconds);
    }
    void schedule(duration delay, std::function<void()> run) { m_events.push({m_now + delay, ++m_eventNumber, std::move(run)}); }

    void account(duration passed)
    {
        const double ms = std::chrono::duration<double, std::milli>(passed).count();
        bool isOver = false;
        bool isFree = false;
        for (auto &each : m_endpoints) {
            isOver = isOver || !each.queue.empty();
            isFree = isFree || each.running < m_settings.slots;
            each.busyMs += ms * each.running;
        }
        m_totalMs += ms;
        m_unevenMs += isOver && isFree ? ms : 0;
    }

    void beginSlowPeriod(std::size_t e)
    {
        m_endpoints[e].factor = slowFactor;
        schedule(randomTime(slowPeriod), [this, e] {
            m_endpoints[e].factor = 1;
            schedule(randomTime(usualPeriod), [this, e] { beginSlowPeriod(e); });
        });
    }

    // Callers of one data centre after the other send more.
    void arrive(time_point start)
    {
        constexpr double swing = 0.55;
        constexpr double periodSeconds = 15;
        const double seconds = std::chrono::duration<double>(m_now - start).count();
        std::vector<double> weights;
        for (int dc = 0; dc < m_settings.dataCentres; ++dc) {
            const double turn = seconds / periodSeconds + static_cast<double>(dc) / m_settings.dataCentres;
            weights.push_back(1 + swing * std::sin(2 * 3.14159265358979 * turn));
        }
        const int dc = std::discrete_distribution<int>(weights.begin(), weights.end())(m_random);
        // The VMs of a data centre have the numbers dc, dc + dataCentres and so on.
        const int vmsHere = std::max((m_settings.vms - dc + m_settings.dataCentres - 1) / m_settings.dataCentres, 1);
        const int vm = dc + m_settings.dataCentres * randomBelow(vmsHere);
        const auto p = static_cast<std::size_t>(m_settings.hubs ? dc : std::min(vm, m_settings.vms - 1));
        ++m_requests;
        place(p, !m_settings.hubs || vm == dc);
        const double perMs = m_settings.utilisation * m_settings.slots * static_cast<double>(m_endpoints.size()) / m_settings.meanWorkMs;
        schedule(randomTime(std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(1 / perMs))), [this, start] { arrive(start); });
    }

    void place(std::size_t p, bool atHub)
    {
        auto &from = *m_placers[p];
        static const std::set<endpoint_name> noneExcluded;
        static const std::optional<software_version> anyVersion;
        const placement_context context{from.fleet, from.dataCentre, m_speeds, m_now, noneExcluded, {}, anyVersion, true, m_random()};
        auto *const chosen = m_choice(from.endpoints.candidates({"desk"}, m_settings.role, m_now), context, m_random);
        if (chosen == nullptr) {
            ++m_late;
            return;
        }
        const work request{p, ++m_lastAttempt, m_now, atHub};
        chosen->holdTime.onPlaced(m_now);
        chosen->open.emplace(request.attempt, open_work{m_now, 0, 0, false});
        const auto e = static_cast<std::size_t>(std::stoi(chosen->info.name.value.substr(5)));
        schedule(networkTime, [this, e, request] { receive(e, request); });
    }

    void receive(std::size_t e, const work &request)
    {
        auto &endpoint = m_endpoints[e];
        if (endpoint.running < m_settings.slots) {
            serve(e, request);
        } else if (endpoint.queue.size() < m_settings.queueLimit) {
            endpoint.queue.push_back(request);
        } else {
            answer(e, request, false);
        }
    }

    void serve(std::size_t e, const work &request)
    {
        auto &endpoint = m_endpoints[e];
        ++endpoint.running;
        double ms = std::lognormal_distribution<double>(std::log(m_settings.meanWorkMs) - workSpread * workSpread / 2, workSpread)(m_random);
        ms *= randomBelow(100) == 0 ? 5 : 1;
        ms *= endpoint.factor / endpoint.speed;
        schedule(std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms)), [this, e, request] {
            auto &from = m_endpoints[e];
            --from.running;
            if (!from.queue.empty()) {
                const auto next = from.queue.front();
                from.queue.pop_front();
                serve(e, next);
            }
            answer(e, request, true);
        });
    }

    void answer(std::size_t e, const work &request, bool hasRun)
    {
        const auto &endpoint = m_endpoints[e];
        reported_load load{
            .running = endpoint.running, .waiting = static_cast<std::int32_t>(endpoint.queue.size()), .slots = m_settings.slots, .workTimePercent = {}};
        if (m_settings.reportsWorkTime) {
            load.workTimePercent = static_cast<std::int32_t>(endpoint.factor * (90 + randomBelow(21)));
        }
        schedule(networkTime, [this, e, request, load, hasRun] {
            auto &to = *m_placers[request.placer];
            auto &entry = *to.endpoints.find(nameOf(e));
            m_late += !hasRun || m_now - request.arrivedAt > m_settings.objective ? 1 : 0;
            entry.open.erase(request.attempt);
            if (hasRun) {
                entry.endpointStatistics.onSuccess(m_now - request.arrivedAt, m_now);
            }
            if (request.atHub) {
                entry.loadEstimate.onReport(load, static_cast<std::int32_t>(entry.open.size()) + to.fleet.loadAt(nameOf(e)).running, m_now);
            } else if (load.workTimePercent) {
                // The VM with the caller tells its hub with the heartbeat that reports the end of the request.
                schedule(heartbeatDelay, [this, e, load, request] {
                    auto &hub = *m_placers[request.placer];
                    hub.heard.on({{.endpoint = nameOf(e), .workTimePercent = load.workTimePercent}}, m_now);
                    hub.fleet.on(fleet_heartbeat{.from = {{"callers"}, 1},
                                                 .sequence = ++hub.sequence,
                                                 .address = "10.0.0.2:1",
                                                 .dataCentre = hub.dataCentre,
                                                 .loads = {{.endpoint = nameOf(e), .workTimePercent = load.workTimePercent}}},
                                 m_now);
                });
            }
        });
    }

    // Records the work of all placers, as it arrives at the others later.
    void takeSnapshot()
    {
        m_snapshots.emplace_back();
        for (const auto &placer : m_placers) {
            auto loads = placer->endpoints.ownLoads(m_now);
            if (m_settings.hubs) {
                placer->heard.addTo(loads, m_now);
            }
            m_snapshots.back().push_back({std::move(loads)});
        }
        if (m_snapshots.size() > longestHistory) {
            m_snapshots.pop_front();
        }
        schedule(snapshotInterval, [this] { takeSnapshot(); });
    }

    // Hands a placer the work of all others.
    void update(std::size_t p)
    {
        const auto age = static_cast<std::size_t>(m_settings.knowledgeAge / snapshotInterval);
        if (m_snapshots.size() > age) {
            const auto &all = m_snapshots[m_snapshots.size() - 1 - age];
            auto &to = *m_placers[p];
            std::vector<endpoint_load> loads;
            for (std::size_t other = 0; other < all.size(); ++other) {
                if (other == p) {
                    continue;
                }
                addLoads(loads, all[other].loads);
                for (const auto &load : all[other].loads) {
                    if (load.workTimePercent) {
                        auto it = std::find_if(loads.begin(), loads.end(), [&](const auto &each) { return each.endpoint == load.endpoint; });
                        it->workTimePercent = load.workTimePercent;
                    }
                }
            }
            to.fleet.on(fleet_summary{.from = {{"others"}, 1},
                                      .sequence = ++to.sequence,
                                      .address = "10.0.0.3:1",
                                      .dataCentre = {"others"},
                                      .scope = summary_scope::DataCentre,
                                      .hasLoads = true,
                                      .loads = std::move(loads)},
                        m_now);
        }
        schedule(updateInterval(), [this, p] { update(p); });
    }

    pool_settings m_settings;
    pool_choice m_choice;
    std::mt19937 m_random;
    engine_speeds m_speeds;
    time_point m_now{std::chrono::hours{1}};
    std::priority_queue<event> m_events;
    std::uint64_t m_eventNumber = 0;
    attempt_number m_lastAttempt = 0;
    std::vector<endpoint_state> m_endpoints;
    std::vector<std::unique_ptr<placer_state>> m_placers;
    std::deque<std::vector<snapshot>> m_snapshots;
    double m_unevenMs = 0;
    double m_totalMs = 0;
    int m_requests = 0;
    int m_late = 0;
};

} // namespace plantainpoint::test
