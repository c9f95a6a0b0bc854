// How this VM reaches the endpoints: by connections of its own, or through a proxy, which is another VM, while its own connections fail.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endpoint_directory.hpp"
#include "fleet_view.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// A connection that cannot be established does not tell whether the endpoint is down or this VM is cut off from it. Two things tell the difference: a proxy
// that reaches the endpoint, and failures at several endpoints while none is reached. Only connections count, not the silence of an open one, as a sound
// endpoint may be silent for a while.
class endpoint_ways
{
public:
    // The arguments passed by reference have to outlive the object. The seed differs for each VM, so that the VMs use different proxies.
    endpoint_ways(endpoint_directory &endpoints, const fleet_view &fleet, std::uint64_t seed);

    // Records that bytes of an endpoint have arrived on a connection of this VM.
    void onReached(endpoint_entry &endpoint, time_point now);
    // Records that a connection of this VM to an endpoint could not be established. Returns whether the way to the endpoint is lost, as far as this VM
    // can tell alone.
    bool onConnectFailed(endpoint_entry &endpoint, time_point now);
    // Records that a connection of this VM ended before the answer was complete. Returns whether a connection is to be tried, as this VM may be cut off.
    bool onBroken(endpoint_entry &endpoint, time_point now);
    // Looks for endpoints whose answers are overdue while nothing has arrived from any. Returns the connections that are to be tried.
    std::vector<probe_endpoint> onSilence(time_point now);
    // Returns whether open connections may be dead, as nothing has arrived since such a moment.
    bool isSuspected() const { return m_suspectedAt && m_lastReachedAt <= *m_suspectedAt; }
    // Records the result of a probe. Returns whether it changes which endpoints are reached through a proxy.
    bool onProbed(const endpoint_probed &probe, time_point now);
    void onProxyFailed(const std::string &proxy, time_point now);
    void onProxyUsed(const std::string &proxy, time_point now);
    // Adds VMs that a proxy has named.
    void onProxiesNamed(const std::vector<std::string> &addresses);

    // Returns whether this VM reaches the endpoint through a proxy only.
    bool isLost(const endpoint_entry &endpoint) const;
    // Returns whether this VM reaches no endpoint by connections of its own.
    bool isCutOff() const { return m_cutOffAt.has_value(); }
    // Returns whether this VM reaches no endpoint, as no proxy helps either.
    bool isIsolated(time_point now) const { return isCutOff() && !chooseProxy(0, now); }
    // Returns the address of a proxy, or nothing if none is known or all have failed lately. With a filter, it is one in a data centre that is allowed.
    std::optional<std::string> chooseProxy(std::uint64_t seed, time_point now, const data_centre_filter &allowed = {}) const;

    // Returns the probes that are due: of endpoints whose way is lost, to notice that it is back, and of proxies, so that two are known to work.
    std::vector<probe_endpoint> probes(time_point now);
    // Returns the time of the next probe, or nothing while all ways are open.
    std::optional<time_point> nextProbe() const { return m_anyLost ? std::optional(m_nextProbe) : std::nullopt; }
    std::size_t lostWays() const;

private:
    struct proxy_state {
        time_point failedUntil{};
        std::optional<time_point> workedAt;
        time_point probedAt{};
    };

    void startFailure(std::optional<time_point> &failedAt, time_point now) const;
    std::optional<time_point> firstFailure(std::optional<time_point> endpoint_entry::*failedAt, time_point now) const;
    std::vector<std::string> workingProxies(time_point now) const;
    std::vector<std::string> untriedProxies(time_point now) const;
    std::set<std::string> membersIn(const data_centre_filter &allowed) const;
    bool hasFailed(const std::string &address, time_point now) const;
    void forgetLosses();

    endpoint_directory &m_endpoints;
    const fleet_view &m_fleet;
    std::uint64_t m_seed;
    std::map<std::string, proxy_state> m_proxies;
    std::vector<std::string> m_named; // VMs that proxies have named.
    std::optional<time_point> m_cutOffAt; // First failure since any endpoint was reached.
    time_point m_lastReachedAt{};
    std::optional<time_point> m_suspectedAt;
    time_point m_nextProbe{};
    time_point m_nextEndpointProbe{};
    bool m_anyLost = false;
};

} // namespace plantainpoint
