#include "endpoint_ways.hpp"

#include <algorithm>
#include <set>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr duration failureWindow = std::chrono::seconds{2}; // Failures at two endpoints within this time, and no success, mean that this VM is cut off.
constexpr std::size_t cutOffFailures = 2;
// Several endpoints that end in the same moment refuse connections as well. Others are heard or connected to in such a time.
constexpr duration minConnectFailureTime = milliseconds{50};
constexpr duration minBrokenTime = milliseconds{100}; // Running streams and new requests are answered in such a time by endpoints that are reached.
constexpr duration suspicionInterval = milliseconds{500};
constexpr duration endpointProbeInterval = milliseconds{250};
constexpr duration proxyProbeInterval = milliseconds{60}; // Longer than a round trip between two VMs.
constexpr duration proxyFailureTime = std::chrono::seconds{2}; // A proxy that failed is not used for this time.
constexpr duration proxyTrustTime = std::chrono::seconds{5}; // A proxy that worked is preferred for this time.
constexpr duration searchTime = std::chrono::seconds{1}; // Requests are sent through proxies that are not known to work for this time after a cut.
constexpr duration proxyMemoryTime = std::chrono::minutes{2}; // Longer than any of the times above.
constexpr std::size_t wantedProxies = 2; // One more than needed, as a proxy may be lost at any time.
constexpr std::size_t nearFailures = 2; // After so many failures in this data centre, proxies of others are tried as well.
constexpr std::size_t maxNamed = 32;

} // namespace

endpoint_ways::endpoint_ways(endpoint_directory &endpoints, const fleet_view &fleet, std::uint64_t seed)
    : m_endpoints(endpoints)
    , m_fleet(fleet)
    , m_seed(seed)
{
}

void endpoint_ways::onReached(endpoint_entry &endpoint, time_point now)
{
    endpoint.reachedAt = now;
    m_lastReachedAt = now;
}

bool endpoint_ways::onConnectFailed(endpoint_entry &endpoint, time_point now)
{
    startFailure(endpoint.connectFailedAt, now);
    if (isLost(endpoint)) {
        return true;
    }
    const auto first = firstFailure(&endpoint_entry::connectFailedAt, now);
    if (!first || now - *first < minConnectFailureTime) {
        return false;
    }
    m_cutOffAt = first;
    m_anyLost = true;
    m_nextProbe = now;
    m_nextEndpointProbe = now + endpointProbeInterval;
    return true;
}

// Endpoints may end in the same moment, or break off all answers. Others are heard soon after, unless this VM is cut off.
bool endpoint_ways::onBroken(endpoint_entry &endpoint, time_point now)
{
    startFailure(endpoint.brokeOffAt, now);
    const auto first = firstFailure(&endpoint_entry::brokeOffAt, now);
    if (isLost(endpoint) || !first || now - *first < minBrokenTime || now - endpoint.probedAt < endpointProbeInterval) {
        return false;
    }
    endpoint.probedAt = now;
    return true;
}

// Keeps the first failure since any endpoint was reached: it tells for how long none has been.
void endpoint_ways::startFailure(std::optional<time_point> &failedAt, time_point now) const
{
    if (!failedAt || *failedAt <= m_lastReachedAt || now - *failedAt >= failureWindow) {
        failedAt = now;
    }
}

// Returns the first failure since any endpoint was reached if there were failures at several addresses lately.
std::optional<time_point> endpoint_ways::firstFailure(std::optional<time_point> endpoint_entry::*failedAt, time_point now) const
{
    std::set<std::string> addresses;
    time_point first = now;
    for (const auto *each : m_endpoints.all()) {
        const auto &at = each->*failedAt;
        if (at && now - *at<failureWindow && * at> m_lastReachedAt) {
            addresses.insert(each->info.address);
            first = std::min(first, *at);
        }
    }
    return addresses.size() < cutOffFailures ? std::nullopt : std::optional(first);
}

std::vector<probe_endpoint> endpoint_ways::onSilence(time_point now)
{
    std::vector<probe_endpoint> out;
    const auto isOverdue = [&](const auto *endpoint) { return endpoint->isSilent(now) && now - endpoint->longestUnansweredWait(now) >= m_lastReachedAt; };
    auto endpoints = m_endpoints.all();
    const bool isSuspect = !isCutOff() && std::any_of(endpoints.begin(), endpoints.end(), isOverdue);
    if (!isSuspect || (m_suspectedAt && now - *m_suspectedAt < suspicionInterval)) {
        return out;
    }
    m_suspectedAt = now;
    // An endpoint that stands still accepts connections. One that is down accepts none, so that a second one tells whose fault it is.
    std::stable_partition(endpoints.begin(), endpoints.end(), isOverdue);
    for (const auto *endpoint : endpoints) {
        const bool isKnown = std::any_of(out.begin(), out.end(), [&](const auto &probe) { return probe.address == endpoint->info.address; });
        if (endpoint->usable(now) && !isKnown && out.size() < cutOffFailures) {
            out.push_back({endpoint->info.name, endpoint->info.startedAt, endpoint->info.address, {}});
        }
    }
    return out;
}

bool endpoint_ways::onProbed(const endpoint_probed &probe, time_point now)
{
    auto *const endpoint = m_endpoints.find(probe.endpoint);
    if (!probe.proxy.empty()) {
        if (probe.result == probe_result::ProxyFailed) {
            onProxyFailed(probe.proxy, now);
            return false;
        }
        onProxyUsed(probe.proxy, now);
        // The connection of this VM failed, and that of the proxy did not.
        const bool hasFailedHere = endpoint != nullptr && endpoint->connectFailedAt && now - *endpoint->connectFailedAt < failureWindow;
        if (probe.result == probe_result::Reached && hasFailedHere && !isLost(*endpoint)) {
            endpoint->wayLost = true;
            endpoint->downUntil = {};
            m_anyLost = true;
            m_nextEndpointProbe = now + endpointProbeInterval;
            return true;
        }
        return false;
    }
    if (probe.result != probe_result::Reached) {
        return false;
    }
    m_lastReachedAt = now;
    if (endpoint != nullptr) {
        endpoint->reachedAt = now;
    }
    // The ways were most likely lost together. One that is still lost is noticed at its next use.
    forgetLosses();
    return true;
}

void endpoint_ways::forgetLosses()
{
    m_cutOffAt.reset();
    m_anyLost = false;
    for (auto *endpoint : m_endpoints.all()) {
        endpoint->wayLost = false;
        endpoint->connectFailedAt.reset();
        endpoint->brokeOffAt.reset();
    }
}

void endpoint_ways::onProxyFailed(const std::string &proxy, time_point now)
{
    // VMs that have been replaced are not heard of again.
    std::erase_if(m_proxies, [&](const auto &item) {
        return now - std::max({item.second.failedUntil, item.second.probedAt, item.second.workedAt.value_or(time_point{})}) > proxyMemoryTime;
    });
    auto &state = m_proxies[proxy];
    state.failedUntil = now + proxyFailureTime;
    state.workedAt.reset();
}

void endpoint_ways::onProxyUsed(const std::string &proxy, time_point now)
{
    m_proxies[proxy] = {.workedAt = now};
}

void endpoint_ways::onProxiesNamed(const std::vector<std::string> &addresses)
{
    for (const auto &address : addresses) {
        if (m_named.size() < maxNamed && std::find(m_named.begin(), m_named.end(), address) == m_named.end()) {
            m_named.push_back(address);
        }
    }
}

bool endpoint_ways::isLost(const endpoint_entry &endpoint) const
{
    return endpoint.wayLost || (m_cutOffAt && endpoint.reachedAt < *m_cutOffAt);
}

bool endpoint_ways::hasFailed(const std::string &address, time_point now) const
{
    const auto found = m_proxies.find(address);
    return found != m_proxies.end() && found->second.failedUntil > now;
}

std::vector<std::string> endpoint_ways::workingProxies(time_point now) const
{
    std::vector<std::string> out;
    for (const auto &[address, state] : m_proxies) {
        if (state.workedAt && now - *state.workedAt < proxyTrustTime) {
            out.push_back(address);
        }
    }
    return out;
}

// Returns the VMs that may serve as proxies and have not failed lately, the nearest ones first and otherwise in an order that differs for each VM.
std::vector<std::string> endpoint_ways::untriedProxies(time_point now) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    std::size_t failedNear = 0;
    for (const auto &member : m_fleet.otherMembers()) {
        const bool isNear = member.dataCentre == m_fleet.self().dataCentre;
        if (hasFailed(member.address, now)) {
            failedNear += isNear ? 1 : 0;
        } else {
            (isNear ? near : far).push_back(member.address);
        }
    }
    for (const auto &address : m_named) {
        const bool isKnown = std::find(near.begin(), near.end(), address) != near.end() || std::find(far.begin(), far.end(), address) != far.end();
        if (!isKnown && address != m_fleet.self().address && !hasFailed(address, now)) {
            far.push_back(address);
        }
    }
    const auto byHash = [&](const auto &a, const auto &b) { return stableHash(a, m_seed) < stableHash(b, m_seed); };
    std::sort(near.begin(), near.end(), byHash);
    std::sort(far.begin(), far.end(), byHash);
    if (failedNear >= nearFailures) {
        near.swap(far);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

// Returns the addresses of the VMs in data centres that are allowed. Of VMs that a proxy has named, the data centre is not known.
std::set<std::string> endpoint_ways::membersIn(const data_centre_filter &allowed) const
{
    std::set<std::string> addresses;
    for (const auto &member : m_fleet.otherMembers()) {
        if (allowed(member.dataCentre)) {
            addresses.insert(member.address);
        }
    }
    return addresses;
}

std::optional<std::string> endpoint_ways::chooseProxy(std::uint64_t seed, time_point now, const data_centre_filter &allowed) const
{
    const auto members = allowed ? membersIn(allowed) : std::set<std::string>{};
    const auto isExcluded = [&](const std::string &address) { return allowed && !members.contains(address); };
    auto working = workingProxies(now);
    std::erase_if(working, isExcluded);
    if (!working.empty()) {
        return working[seed % working.size()];
    }
    if (!allowed && m_cutOffAt && now - *m_cutOffAt > searchTime) {
        return std::nullopt; // The probes go on looking for one.
    }
    // The probes end when two proxies of any region are known, so that a request with a filter tries those of its own.
    auto untried = untriedProxies(now);
    std::erase_if(untried, isExcluded);
    return untried.empty() ? std::nullopt : std::optional(untried.front());
}

std::size_t endpoint_ways::lostWays() const
{
    const auto endpoints = m_endpoints.all();
    return static_cast<std::size_t>(std::count_if(endpoints.begin(), endpoints.end(), [&](const auto *endpoint) { return isLost(*endpoint); }));
}

std::vector<probe_endpoint> endpoint_ways::probes(time_point now)
{
    std::vector<probe_endpoint> out;
    if (!m_anyLost || now < m_nextProbe) {
        return out;
    }
    m_nextProbe = now + proxyProbeInterval;
    endpoint_entry *target = nullptr;
    for (auto *endpoint : m_endpoints.all()) {
        const bool isCandidate = isLost(*endpoint) && endpoint->usable(now);
        if (isCandidate && (target == nullptr || endpoint->probedAt < target->probedAt)) {
            target = endpoint;
        }
    }
    if (target == nullptr) {
        // The endpoints whose ways were lost have left.
        m_anyLost = isCutOff();
        return out;
    }
    if (now >= m_nextEndpointProbe) {
        m_nextEndpointProbe = now + endpointProbeInterval;
        target->probedAt = now;
        out.push_back({target->info.name, target->info.startedAt, target->info.address, {}});
    }
    if (workingProxies(now).size() < wantedProxies) {
        for (const auto &address : untriedProxies(now)) {
            auto &state = m_proxies[address];
            if (!state.workedAt && now - state.probedAt >= proxyFailureTime / 2) {
                state.probedAt = now;
                out.push_back({target->info.name, target->info.startedAt, target->info.address, address});
                break;
            }
        }
    }
    return out;
}

} // namespace plantainpoint
