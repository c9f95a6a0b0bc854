// What attempts, checks and probes tell of the ways to endpoints, and of endpoints that have ended.
#include "relay_requests.hpp"

#include <utility>

namespace plantainpoint {

// A connection that is refused here may be refused because this VM is cut off: a proxy tries as well before the endpoint counts as ended.
void relay_requests::on(const endpoint_checked &checked)
{
    if (checked.refused && m_openChecks.emplace(checked.endpoint, open_check{}).second && verifyCheck(checked.endpoint)) {
        return;
    }
    m_openChecks.erase(checked.endpoint);
    recordCheck(checked);
    if (auto *const endpoint = m_components.endpoints.find(checked.endpoint); endpoint != nullptr && checked.dropped) {
        onConnectFailed(*endpoint);
    }
}

// Lets a proxy connect to the endpoint. Returns false if there is none.
bool relay_requests::verifyCheck(const endpoint_name &endpoint)
{
    const auto *const entry = m_components.endpoints.find(endpoint);
    auto &check = m_openChecks.at(endpoint);
    const auto proxy = m_components.ways.chooseProxy(static_cast<std::uint64_t>(check.triesLeft), m_components.clock.now());
    if (entry == nullptr || !proxy || check.triesLeft == 0) {
        return false;
    }
    --check.triesLeft;
    m_components.commands.push_back(probe_endpoint{endpoint, entry->info.startedAt, entry->info.address, *proxy});
    return true;
}

void relay_requests::on(const endpoint_probed &probe)
{
    auto &ways = m_components.ways;
    const bool wasCutOff = ways.isCutOff();
    auto *const endpoint = m_components.endpoints.find(probe.endpoint);
    const bool wasLost = endpoint != nullptr && ways.isLost(*endpoint);
    const bool changed = ways.onProbed(probe, m_components.clock.now());
    if (changed && !probe.proxy.empty()) {
        m_components.logMessage(
            severity::Warning, log_component::Monitor, "endpoint=" + probe.endpoint.value + " is reached through other VMs only, such as proxy=" + probe.proxy);
    } else if (changed && wasLost && !wasCutOff) {
        m_components.logMessage(severity::Warning, log_component::Monitor, "endpoint=" + probe.endpoint.value + " is reached without a proxy again");
    }
    logWays(wasCutOff);
    if (probe.proxy.empty() && probe.result == probe_result::Unreachable && endpoint != nullptr && !wasLost) {
        onConnectFailed(*endpoint);
    }
    if (const auto check = m_openChecks.find(probe.endpoint); check != m_openChecks.end()) {
        onCheckProbed(probe, check->second);
    }
}

// Decides a refused check by the connections of proxies. If one was accepted, the endpoint may have started again meanwhile: this VM connects once more.
void relay_requests::onCheckProbed(const endpoint_probed &probe, open_check &check)
{
    const auto *const entry = m_components.endpoints.find(probe.endpoint);
    if (probe.proxy.empty() != check.proxyReached) {
        return; // Another probe of the endpoint.
    }
    if (!check.proxyReached && probe.result == probe_result::Reached && entry != nullptr) {
        check.proxyReached = true;
        m_components.commands.push_back(probe_endpoint{probe.endpoint, entry->info.startedAt, entry->info.address, {}});
        return;
    }
    if (probe.result == probe_result::ProxyFailed && verifyCheck(probe.endpoint)) {
        return;
    }
    // Without a proxy that can tell, the refused connection counts.
    const bool hasEnded = !check.proxyReached || probe.result == probe_result::Reached;
    m_openChecks.erase(probe.endpoint);
    recordCheck({probe.endpoint, hasEnded});
}

// Records that bytes of the endpoint have arrived.
void relay_requests::recordHeard(const relay_attempt &attempt)
{
    const auto now = m_components.clock.now();
    auto *const endpoint = m_components.endpoints.find(attempt.endpoint);
    if (endpoint != nullptr) {
        endpoint->heardAt = now;
    }
    if (!attempt.proxy.empty()) {
        m_components.ways.onProxyUsed(attempt.proxy, now);
    } else if (endpoint != nullptr) {
        m_components.ways.onReached(*endpoint, now);
    }
}

// Records why nothing of an attempt was sent.
void relay_requests::recordUnsent(const relay_attempt &attempt, reply_outcome end)
{
    const auto now = m_components.clock.now();
    auto *const endpoint = m_components.endpoints.find(attempt.endpoint);
    if (end == reply_outcome::ProxyFailed) {
        m_components.ways.onProxyFailed(attempt.proxy, now);
    } else if (end == reply_outcome::NotSent && endpoint != nullptr && attempt.proxy.empty()) {
        onConnectFailed(*endpoint);
    } else if (end == reply_outcome::NotSent && endpoint != nullptr) {
        m_components.ways.onProxyUsed(attempt.proxy, now);
        ++endpoint->unreported.failures;
        endpoint->endpointStatistics.onFailure(now);
        endpoint->onUnreachable(now);
    }
}

// Avoids an endpoint that this VM cannot connect to, unless the way to it is lost. A proxy tells the difference where this VM cannot.
void relay_requests::onConnectFailed(endpoint_entry &endpoint)
{
    const auto now = m_components.clock.now();
    auto &ways = m_components.ways;
    const bool wasCutOff = ways.isCutOff();
    if (ways.onConnectFailed(endpoint, now)) {
        logWays(wasCutOff);
        return;
    }
    ++endpoint.unreported.failures;
    endpoint.endpointStatistics.onFailure(now);
    endpoint.onUnreachable(now);
    if (const auto proxy = ways.chooseProxy(0, now)) {
        m_components.commands.push_back(probe_endpoint{endpoint.info.name, endpoint.info.startedAt, endpoint.info.address, *proxy});
    }
}

void relay_requests::logWays(bool wasCutOff)
{
    const bool isCutOff = m_components.ways.isCutOff();
    if (isCutOff != wasCutOff) {
        m_components.logMessage(severity::Warning,
                                log_component::Monitor,
                                isCutOff ? "no endpoint is reached without a proxy ways_lost=" + std::to_string(m_components.ways.lostWays())
                                         : std::string("endpoints are reached without a proxy again"));
    }
}

} // namespace plantainpoint
