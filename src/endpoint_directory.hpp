// Endpoints that the directory lists, with this VM's open work and statistics for each.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "endpoint_load_estimate.hpp"
#include "endpoint_warmup.hpp"
#include "hold_time_estimate.hpp"
#include "leaving_runs.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"
#include "request_limit.hpp"
#include "request_pace.hpp"

namespace plantainpoint {

// After an outage of the directory, a live endpoint announces itself again within this time.
inline constexpr auto reannounceTime = std::chrono::seconds{2};

// Recent failures and mean times of an endpoint, as seen by this VM.
class endpoint_statistics
{
public:
    void onSuccess(duration time, time_point now);
    void onFailure(time_point now);
    // Adds what another VM has seen.
    void onOutcomes(std::int32_t successes, std::int32_t failures, time_point now);

    // Returns the fraction of recent answers that failed, from 0 to 1. Few answers have little weight.
    double failureRatio(time_point now) const;
    // Returns the mean time to the answer, or to the first event.
    duration meanTime() const { return m_meanTime; }
    // Returns the mean time for which a request holds its slot.
    duration meanHoldTime() const { return m_meanHoldTime; }
    void addHoldTime(duration time) { m_meanHoldTime = updatedMean(m_meanHoldTime, time); }

private:
    void decay(time_point now);
    static duration updatedMean(duration mean, duration sample);

    double m_successes = 0;
    double m_failures = 0;
    time_point m_decayedAt{};
    duration m_meanTime{};
    duration m_meanHoldTime{};
};

// An open attempt of this VM.
struct open_work {
    time_point since{};
    std::int64_t prefillTokens = 0; // Counted until the first event.
    std::int64_t kvTokens = 0;
    bool answered = false; // The first bytes of the answer have arrived.
};

struct endpoint_entry {
    relay_endpoint info;
    endpoint_statistics endpointStatistics;
    endpoint_load_estimate loadEstimate;
    hold_time_estimate holdTime; // Of the requests that this VM places, its own and those of others.
    std::unordered_map<attempt_number, open_work> open;
    std::optional<time_point> lastSentAt; // Time of this VM's last dispatch to it.
    endpoint_outcomes unreported; // Outcomes that no heartbeat has reported yet.
    std::optional<time_point> withdrawnAt; // The endpoint is used until this time.
    time_point fullUntil{}; // The endpoint refused work because it was full.
    time_point downUntil{}; // The endpoint could not be connected to.
    duration downTime{}; // Length of the last exclusion, which doubles with each failed connection.
    time_point roleChangeUntil{}; // The endpoint was ordered to change its role and accepts no work until it has done so.
    std::uint64_t announcements = 0; // Announcements that changed what is known of the endpoint.
    std::optional<time_point> misdirectedSince; // The endpoint refused a request as not meant for it.
    duration misdirectedTime{}; // Length of the last exclusion after such a refusal, which doubles with each one.
    request_limit limit; // What the endpoint says that it takes.
    request_pace pace; // This VM's part of it.
    endpoint_warmup warmup;
    time_point pausedUntil{}; // This run wants no requests from this VM until then.
    time_point heardAt{}; // Arrival of the last bytes of an answer, on any way.
    time_point reachedAt{}; // Arrival of the last bytes on a connection of this VM, without a proxy.
    std::optional<time_point> connectFailedAt; // A connection of this VM could not be established.
    std::optional<time_point> brokeOffAt; // A connection of this VM ended before the answer was complete.
    time_point probedAt{};
    bool wayLost = false; // Proxies reach the endpoint while connections of this VM fail.
    std::optional<time_point> endRefutedAt; // This run ended a stream without a mark, and another endpoint had the rest.
    bool leaving = false; // This run has said that it leaves, whatever the directory lists.
    // A connection has shown that this run has ended. Until the directory shows the next one, it is not known which version runs at the address.
    std::optional<time_point> runEndedAt;
    // Set while its data centre is evacuated: it gets no request from this time on, and before it only if no other endpoint has room.
    std::optional<time_point> closedFrom;

    // Returns whether a stream of the version may go on here. Without a version, any may.
    bool serves(const std::optional<software_version> &version) const { return !version || (!runEndedAt && info.version == *version); }
    // Returns the version of what runs at the address, or a name that no other endpoint has if that is not known.
    software_version currentVersion() const;
    // Returns whether the directory lists the endpoint as one that takes requests.
    bool isListed(time_point now) const;
    // Returns whether this run is about to end by plan, as far as it or the directory tells.
    bool isLeaving(time_point now) const;
    bool usable(time_point now) const { return !leaving && !isClosed(now) && isListed(now); }
    bool isEvacuated() const { return closedFrom.has_value(); }
    // Returns whether the evacuation of its data centre allows no request any more.
    bool isClosed(time_point now) const { return closedFrom && *closedFrom <= now; }
    // Returns whether the endpoint accepts work now, as far as this VM knows: of this VM, or of another one, which knows its own pauses.
    bool acceptsWork(time_point now) const { return pausedUntil <= now && acceptsWorkOfOthers(now); }
    bool acceptsWorkOfOthers(time_point now) const;
    // Returns the time from which this VM's pauses allow work.
    time_point acceptsWorkFrom() const { return std::max({pausedUntil, fullUntil, downUntil, roleChangeUntil}); }
    void onUnreachable(time_point now);
    // Excludes an endpoint that refused a request as not meant for it, until the directory shows that the endpoint is alive at its address. The number of
    // announcements is that at the dispatch of the request.
    void onMisdirected(std::uint64_t knownAnnouncements, time_point now);
    // Returns whether this VM may place a request here: the endpoint accepts work, and this VM's part of its limit is not used up, nor that of the pace of a
    // cold endpoint.
    bool takesPlacement(bool isOwn, time_point now) const
    {
        return (isOwn ? acceptsWork(now) : acceptsWorkOfOthers(now)) && pace.allows(now) && warmup.allows(now);
    }
    // Counts a request against the limit of the endpoint, and against the pace of a cold one.
    void takePermit(time_point now);
    // Returns the requests a second that this VM may send here, or nothing if nothing limits them.
    std::optional<double> permitRate(time_point now) const;
    // Returns the requests a second that this VM may place here while each holds its place for the time.
    double throughput(duration holdTime, time_point now) const;
    // Returns whether open attempts are overdue and nothing has arrived meanwhile, so that open connections may be dead.
    bool isSilent(time_point now) const;
    // Returns the longest wait of an open attempt that has no answer yet.
    duration longestUnansweredWait(time_point now) const;
    endpoint_load ownLoad() const;
};

using data_centre_filter = std::function<bool(const data_centre_name &)>;

class endpoint_directory
{
public:
    // The seed differs for each VM.
    explicit endpoint_directory(std::uint64_t paceSeed = 0)
        : m_paceSeed(paceSeed)
    {
    }

    // Applies changes read from the directory and returns the names whose changes are worth a log line.
    std::vector<endpoint_name> onRead(const directory_read &read, time_point now);
    // Records whether the directory answers. After an outage, endpoints whose entries have lapsed are expected back.
    void onReachable(bool reachable, bool afterOutage, time_point now);
    // Records that the directory has lost a part of its history. Endpoints whose entries are lost write them again.
    void onRestored(time_point now);
    // Records that another VM has read the directory after it did not answer here.
    void onReadElsewhere() { m_reachable = true; }
    // Records for how long another VM still expects endpoints back whose entries lapsed in an outage.
    void onReannouncing(duration reannounceLeft, time_point now);
    // Returns for how long endpoints are still expected back after an outage.
    duration reannounceLeft(time_point now) const;
    // Removes entries that are withdrawn and have no open work, and ends exclusions.
    void tick(time_point now);

    std::uint64_t position() const { return m_position; }
    // Returns the position after the newest change that was read.
    std::uint64_t changedPosition() const { return m_changedPosition; }
    // Records that no endpoint has changed up to the position.
    void onUnchanged(std::uint64_t position) { m_position = std::max(m_position, position); }
    bool known() const { return m_known; }
    bool reachable() const { return m_reachable; }
    endpoint_entry *find(const endpoint_name &name);
    // Returns the usable endpoints of a service that have the role.
    std::vector<endpoint_entry *> candidates(const service_name &service, endpoint_role role, time_point now);
    std::vector<endpoint_entry *> all();
    // Returns all endpoints of a service.
    std::vector<const endpoint_entry *> entriesOf(const service_name &service) const;
    bool hasService(const service_name &service, time_point now) const;
    // Returns whether an endpoint that can serve has the version.
    bool hasVersion(const service_name &service, const software_version &version, time_point now) const;
    // Returns the open work of this VM for the heartbeat, and the work times that it has heard lately.
    std::vector<endpoint_load> ownLoads(time_point now) const;
    // Returns the outcomes since the last call.
    std::vector<endpoint_outcomes> takeOutcomes();
    // Returns the listed endpoints that accept no work from this VM.
    std::vector<endpoint_name> notAccepting(const service_name &service, time_point now) const;
    // Returns the endpoints that were ordered to change their role.
    std::vector<endpoint_name> changingRole(time_point now) const;
    // Avoids an endpoint that ended lately, as another VM has seen.
    void onCrash(const endpoint_crash &crash, time_point now);
    // Marks endpoints that another VM has ordered to change their role.
    void onRoleChange(const std::vector<endpoint_name> &names, time_point now);
    std::size_t size() const { return m_entries.size(); }

    // Records what an endpoint says of itself in an answer to a request sent at the time. Returns whether its limit has changed.
    bool onStatement(const endpoint_name &name, const endpoint_statement &statement, time_point sentAt, time_point now);
    // Records what another VM knows of limits.
    void onLimits(const std::vector<limit_report> &reports, time_point now);
    // Returns what other VMs are told of limits: changes, or all that is known when it is to be refreshed.
    std::vector<limit_report> limitReports(bool refresh, time_point now) const;
    // Sets the part of the endpoints' limits that this VM may use.
    void setLimitShare(double share, time_point now);
    bool hasLimits(const service_name &service, time_point now) const;
    // Returns whether every usable endpoint of the service that can serve names a limit.
    bool onlyLimited(const service_name &service, time_point now) const;
    std::size_t limitedEndpoints() const;

    // Records that a run of an endpoint leaves, as it or another VM has said. Returns whether this is new.
    bool onLeaving(const leaving_endpoint &endpoint, time_point now);
    // Records that a run of an endpoint wants no requests from this VM for the time. Returns whether it takes requests until now.
    bool onPause(const endpoint_name &name, std::int64_t startedAt, duration time, time_point now);
    // Returns the earliest end of a pause if every endpoint of the service that can serve wants one, of those in data centres that are allowed.
    std::optional<time_point> pausedUntil(const service_name &service, time_point now, const data_centre_filter &allowed = {}) const;
    // Returns what other VMs are told of leaving endpoints: what is new, or all that the directory lists as ready when it is to be refreshed.
    std::vector<leaving_endpoint> leavingReports(bool refresh, time_point now) const;
    std::size_t leavingEndpoints() const { return m_leavingRuns.size(); }

    // Sets the evacuated data centres with the time from which their endpoints get no request.
    void setEvacuated(std::map<data_centre_name, time_point> closedFrom);
    bool isClosed(const data_centre_name &dataCentre, time_point now) const
    {
        const auto found = m_closedFrom.find(dataCentre);
        return found != m_closedFrom.end() && found->second <= now;
    }
    bool hasEvacuated() const { return !m_closedFrom.empty(); }
    // Returns whether the endpoints that could serve, of the version if one is given, get no request only because their data centres are evacuated.
    bool onlyClosed(const service_name &service, const std::optional<software_version> &version, time_point now) const;
    // Returns whether the address belongs to an endpoint that gets no request because of an evacuation.
    bool isClosedAddress(const std::string &address, time_point now) const;
    // Returns the endpoints of a data centre, and this VM's open attempts at them.
    std::pair<std::size_t, std::size_t> countIn(const data_centre_name &dataCentre) const;

    // Has no endpoint get a request until then, as this VM may have missed what the others know.
    void hold(time_point until) { m_heldUntil = until; }
    bool isHeld(time_point now) const { return now < m_heldUntil; }
    time_point heldUntil() const { return m_heldUntil; }
    // Sets how cold endpoints of the services are treated.
    void setColdTerms(const std::vector<relay_service> &services, time_point now);
    // Counts the endpoints of a data centre as cold from now on, as they have got no work for a while or may have started again.
    void onMayBeCold(const data_centre_name &dataCentre, time_point now);
    // Records how cold a run of an endpoint is, as an answer to a request sent at the time states it. Returns whether it is cold for longer than was known.
    bool onColdStatement(const endpoint_name &name, std::int64_t startedAt, const endpoint_statement &statement, time_point sentAt, time_point now);
    // Records how cold endpoints are, as they have told another VM.
    void onColdReports(const std::vector<cold_endpoint> &reports, time_point now);
    // Returns what other VMs are told of cold endpoints: what an answer to this VM, or to another one, has lately stated.
    std::vector<cold_endpoint> coldReports(time_point now) const;
    std::size_t coldEndpoints(time_point now) const;

private:
    bool applyAnnouncement(const relay_endpoint &info, bool isChange, time_point now);
    bool withdraw(endpoint_entry &entry, time_point now) const;
    void updatePace(endpoint_entry &entry, time_point now) const;
    void updateClosing(endpoint_entry &entry) const;

    // An entry that the directory drops and lists again, as an older copy of it may do, is bound by the pause.
    struct endpoint_pause {
        std::int64_t startedAt = 0;
        time_point until{};
    };

    std::map<endpoint_name, endpoint_entry> m_entries;
    leaving_runs m_leavingRuns;
    std::map<endpoint_name, endpoint_pause> m_pauses;
    std::map<data_centre_name, time_point> m_closedFrom; // Of the evacuated data centres.
    time_point m_heldUntil{};
    std::map<service_name, cold_terms> m_coldTerms; // Of the services whose cold endpoints tolerate a rate.
    std::uint64_t m_position = 0;
    std::uint64_t m_changedPosition = 0;
    time_point m_reachableSince{};
    bool m_reachable = true;
    bool m_known = false;
    bool m_hadOutage = false;
    double m_limitShare = 0;
    std::uint64_t m_paceSeed;
};

} // namespace plantainpoint
