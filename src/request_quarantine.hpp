// Refuses requests that crash endpoints. Every VM decides by the same evidence: the crashes that it has seen and those that others report.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crash_evidence.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

class request_quarantine
{
public:
    // Records that an endpoint broke off the answer to a request. A request without traits cannot have caused it. Returns whether the endpoint has to be
    // checked: only one that has ended tells something of the requests.
    bool onLost(const relay_endpoint &endpoint, const request_traits &request, time_point now);
    // Returns whether the endpoint has ended while it was answering.
    bool onChecked(const endpoint_checked &checked, time_point now);
    // Takes over an announcement of an endpoint. A later run of an endpoint, or another endpoint at its address, shows that the run before has ended.
    // Returns the endpoints that have ended while they were answering.
    std::vector<endpoint_name> onAnnounced(const relay_endpoint &endpoint, time_point now);
    void onAnswered(const request_traits &traits, time_point now) { m_changed = m_evidence.onAnswered(traits, now, now) || m_changed; }
    // Takes over what another VM tells.
    void onEvidence(const crash_report &evidence, time_point now);
    // Takes over what the directory holds.
    void onStored(std::vector<quarantined_requests> requests, time_point now);

    // Returns whether any request is refused.
    bool isActive(time_point now) const;
    // Returns whether endpoints have crashed lately, so that the contents of requests matter.
    bool knowsCrashes() const { return !m_evidence.empty(); }
    // Returns the time for which a request stays quarantined, or nothing if it may be sent.
    std::optional<duration> timeLeft(const request_traits &traits, time_point now) const;
    // Returns whether a lost request must not be repeated, as it may have crashed an endpoint.
    bool isSuspicious(const request_traits &traits) const { return m_evidence.isSuspicious(traits); }

    // Decides by the evidence that has come since the last call, and returns what has changed.
    std::vector<quarantined_requests> update(time_point now);
    // Returns what this VM tells the others.
    crash_report evidence(time_point now) const;
    // Returns the requests that the directory lacks, or holds although they were released or have expired. Each is returned once a second until the
    // directory has changed.
    std::vector<quarantined_requests> takeUnstored(time_point now);
    // Forgets what is too old to matter.
    void tick(time_point now);
    // Returns the requests that are refused.
    std::vector<quarantined_requests> active(time_point now) const;

private:
    struct entry {
        time_point changedAt{};
        time_point until{};
        duration time{}; // Length of the quarantine. It doubles each time.
        std::int32_t crashes = 0;
        bool released = false;
        bool stored = false;
        bool fromDirectory = false; // Nobody else has told of it.
        time_point storeTriedAt{};

        bool isActive(time_point now) const { return !released && now < until; }
    };
    struct lost_answers {
        std::int64_t startedAt = 0;
        std::string address;
        time_point at{};
        bool checked = false; // Something listens at the address.
        std::vector<request_traits> requests;
    };

    static quarantined_requests describe(const request_traits &traits, const entry &item, time_point now);
    void quarantine(const crash_evidence::suspect &found, time_point now, std::vector<quarantined_requests> &changes);
    void releaseRefuted(time_point now, std::vector<quarantined_requests> &changes);

    crash_evidence m_evidence;
    std::map<request_traits, entry> m_entries;
    std::map<endpoint_name, lost_answers> m_lost; // Answers that broke off for a reason that is not known yet.
    std::vector<quarantined_requests> m_adopted; // Changes that others have told of.
    bool m_changed = false;
};

} // namespace plantainpoint
