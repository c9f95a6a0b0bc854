// endpoints that the directory announces, with this VM's open work and its experience with each
#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// after an outage of the directory a live endpoint announces itself again within this time
inline constexpr auto reannounceTime = std::chrono::seconds{2};

// what the answers of an endpoint say about it
class endpoint_statistics
{
public:
    void onSuccess(duration time, time_point now);
    void onFailure(time_point now);

    // part of the recent answers that failed, 0 to 1; few answers weigh little
    double failurePart(time_point now) const;
    // mean time to the answer, or to the first event
    duration meanTime() const { return m_meanTime; }
    // mean time for which a request holds its slot
    duration meanHold() const { return m_meanHold; }
    void onHold(duration time) { m_meanHold = weighted(m_meanHold, time); }

private:
    void decay(time_point now);
    static duration weighted(duration mean, duration sample);

    double m_good = 0;
    double m_bad = 0;
    time_point m_decayedAt{};
    duration m_meanTime{};
    duration m_meanHold{};
};

// open work of this VM
struct open_work {
    time_point since{};
    std::int64_t prefillTokens = 0; // until the first event
    std::int64_t kvTokens = 0;
    bool answered = false; // the first bytes of the answer have arrived
};

struct endpoint_entry {
    relay_endpoint info;
    endpoint_statistics endpointStatistics;
    std::unordered_map<attempt_number, open_work> open;
    std::optional<time_point> withdrawnAt; // still used until then
    time_point fullUntil{}; // it refused work as it had no room
    time_point downUntil{}; // it took no connection
    duration downTime{}; // of the next failed connection; doubles with each
    time_point roleChangeUntil{}; // it was ordered to change its role and takes no work until it has
    bool gone = false;

    bool usable(time_point now) const;
    // takes work now, as far as this VM knows
    bool acceptsWork(time_point now) const;
    void onUnreachable(time_point now);
    // the longest wait of an open attempt without an answer
    duration longestSilence(time_point now) const;
    endpoint_load ownLoad() const;
};

class endpoint_directory
{
public:
    // gives the names whose entries have changed in a way that a log line should tell
    std::vector<endpoint_name> onRead(const directory_read &read, time_point now);
    void onReachable(bool reachable, time_point now);
    // removes entries that are withdrawn and idle
    void tick(time_point now);

    std::uint64_t position() const { return m_position; }
    bool known() const { return m_known; }
    bool reachable() const { return m_reachable; }
    endpoint_entry *find(const endpoint_name &name);
    // usable endpoints of a service with the role
    std::vector<endpoint_entry *> candidates(const service_name &service, endpoint_role role, time_point now);
    bool hasService(const service_name &service, time_point now) const;
    // open work of this VM, for the heartbeat
    std::vector<endpoint_load> ownLoads() const;
    // endpoints that were ordered to change their role
    std::vector<endpoint_name> changingRole(time_point now) const;
    void onRoleChange(const std::vector<endpoint_name> &names, time_point now);
    std::size_t size() const { return m_entries.size(); }

private:
    bool accept(const relay_endpoint &info);
    bool withdraw(endpoint_entry &entry, time_point now) const;

    std::map<endpoint_name, endpoint_entry> m_entries;
    std::uint64_t m_position = 0;
    time_point m_reachableSince{};
    bool m_reachable = true;
    bool m_known = false;
    bool m_hadOutage = false;
};

} // namespace plantainpoint
