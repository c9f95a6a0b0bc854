#include "role_planner.hpp"

#include <algorithm>
#include <cmath>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr duration leaderSettleTime = milliseconds{2000}; // Longer than vmSilenceTimeout, so that a VM that has just started hears the others first.
constexpr duration orderDeliveryMargin = milliseconds{1000}; // Covers orders that are still being delivered.
constexpr duration directorySettleTime = milliseconds{1600}; // Longer than the interval in which endpoints announce themselves.
constexpr duration stepTimeout = milliseconds{1500}; // Ends a step whose answer was lost.
constexpr duration sendWindow = milliseconds{400}; // Longest time from the append to the order. A VM that was suspended in between does not send the order.
constexpr duration orderPause = milliseconds{300}; // Pause between two orders.
constexpr duration failurePause = milliseconds{3000}; // Pause after a step that failed.
constexpr duration roleChangeTime = milliseconds{8000}; // Time in which an ordered endpoint finishes its work and changes its role.

} // namespace

role_planner::role_planner(vm_name self, settings plannerSettings)
    : m_self(std::move(self))
    , m_settings(plannerSettings)
{
}

void role_planner::pause(time_point now, duration time)
{
    m_step = step::Idle;
    m_plan.reset();
    m_pausedUntil = now + time;
}

bool role_planner::isLeader(const fleet_view &fleet, time_point now)
{
    if (!fleet.leads(now)) {
        m_leaderSince.reset();
        return false;
    }
    m_leaderSince = m_leaderSince.value_or(now);
    return now - *m_leaderSince >= leaderSettleTime;
}

std::optional<role_planner::plan> role_planner::planChangeOf(const service_name &service, endpoint_directory &endpoints, time_point now) const
{
    auto prefills = endpoints.candidates(service, endpoint_role::Prefill, now);
    auto decodes = endpoints.candidates(service, endpoint_role::Decode, now);
    const auto changesRole = [&](const endpoint_entry *entry) { return entry->roleChangeUntil > now; };
    if (std::any_of(prefills.begin(), prefills.end(), changesRole) || std::any_of(decodes.begin(), decodes.end(), changesRole)) {
        return std::nullopt; // Only one endpoint changes its role at a time.
    }
    const auto count = prefills.size() + decodes.size();
    const auto idealPrefills = m_settings.prefillShare * static_cast<double>(count);
    const auto targetPrefills = static_cast<std::size_t>(std::max(1.0, std::round(idealPrefills)));
    const bool surplus = prefills.size() > targetPrefills;
    const bool shortage = prefills.empty() && decodes.size() > targetPrefills;
    if (!surplus && !shortage) {
        return std::nullopt;
    }
    auto &from = surplus ? prefills : decodes;
    const auto leastBusy = std::min_element(from.begin(), from.end(), [](const auto *a, const auto *b) { return a->open.size() < b->open.size(); });
    return plan{(*leastBusy)->info.name, (*leastBusy)->info.address, surplus ? endpoint_role::Decode : endpoint_role::Prefill};
}

// Returns whether the number of endpoints has been stable. The proportions are unknown while endpoints still announce themselves.
bool role_planner::isSettled(const endpoint_directory &endpoints, time_point now)
{
    if (m_endpointCount != endpoints.size()) {
        m_endpointCount = endpoints.size();
        m_endpointCountSince = now;
    }
    return now - m_endpointCountSince >= directorySettleTime;
}

std::optional<role_planner::plan> role_planner::planNextChange(const route_table &routes, endpoint_directory &endpoints, time_point now) const
{
    for (const auto &service : routes.config().services) {
        if (!service.engine) {
            continue;
        }
        if (auto change = planChangeOf(service.name, endpoints, now)) {
            return change;
        }
    }
    return std::nullopt;
}

void role_planner::tick(const route_table &routes, endpoint_directory &endpoints, const fleet_view &fleet, time_point now, std::vector<relay_command> &out)
{
    const bool directorySettled = isSettled(endpoints, now);
    if (m_settings.prefillShare <= 0 || !isLeader(fleet, now) || now < m_pausedUntil) {
        return;
    }
    if (m_step != step::Idle) {
        if (now - m_stepStartedAt > stepTimeout) {
            pause(now, failurePause);
        }
        return;
    }
    m_plan = directorySettled ? planNextChange(routes, endpoints, now) : std::nullopt;
    if (!m_plan || !endpoints.reachable()) {
        return;
    }
    m_step = step::Reading;
    m_stepStartedAt = now;
    out.push_back(read_order_log{});
}

std::vector<endpoint_name> role_planner::ordered(const endpoint_directory &endpoints, time_point now) const
{
    std::vector<endpoint_name> out;
    if (!m_orderedEndpoint) {
        return out;
    }
    for (const auto &name : endpoints.changingRole(now)) {
        if (name == *m_orderedEndpoint) {
            out.push_back(name);
        }
    }
    return out;
}

void role_planner::on(const order_log_read &read, time_point now, std::vector<relay_command> &out)
{
    if (m_step != step::Reading || !m_plan) {
        return;
    }
    if (!read.end) {
        pause(now, failurePause);
        return;
    }
    const auto leaseTime = m_settings.lease + orderDeliveryMargin;
    if (read.intactFor < leaseTime) {
        // Another holder may have written the orders that the log has lost.
        pause(now, leaseTime - read.intactFor);
        return;
    }
    if (read.lastHolder && *read.lastHolder != m_self) {
        if (!m_otherHolderSince || m_otherHolderEnd != *read.end) {
            m_otherHolderSince = now;
            m_otherHolderEnd = *read.end;
        }
        if (const auto leaseEnd = *m_otherHolderSince + leaseTime; now < leaseEnd) {
            pause(now, leaseEnd - now);
            return;
        }
    }
    m_step = step::Appending;
    m_stepStartedAt = now;
    out.push_back(append_order{*read.end, m_self, m_plan->endpoint, m_plan->role});
}

void role_planner::on(const order_appended &appended, endpoint_directory &endpoints, time_point now, std::vector<relay_command> &out)
{
    if (m_step != step::Appending || !m_plan) {
        return;
    }
    auto *const endpoint = endpoints.find(m_plan->endpoint);
    if (!appended.fencing || now - m_stepStartedAt > sendWindow || endpoint == nullptr || !endpoint->usable(now)) {
        pause(now, failurePause);
        return;
    }
    m_step = step::Ordering;
    m_stepStartedAt = now;
    endpoint->roleChangeUntil = now + roleChangeTime;
    m_orderedEndpoint = m_plan->endpoint;
    out.push_back(send_role_order{m_plan->endpoint, m_plan->address, m_self, m_plan->role, *appended.fencing});
    out.push_back(
        log_line{severity::Info,
                 log_component::Monitor,
                 std::nullopt,
                 "order endpoint=" + m_plan->endpoint.value + " role=" + std::string(nameOf(m_plan->role)) + " fencing=" + std::to_string(*appended.fencing)});
}

void role_planner::on(const role_order_answered &answer, endpoint_directory &endpoints, time_point now, std::vector<relay_command> &out)
{
    if (m_step != step::Ordering || !m_plan || m_plan->endpoint != answer.endpoint) {
        return;
    }
    auto *const endpoint = endpoints.find(answer.endpoint);
    // Without an answer, the endpoint may still carry out the order.
    if (answer.refused && endpoint != nullptr) {
        endpoint->roleChangeUntil = {};
    }
    out.push_back(log_line{
        severity::Info, log_component::Monitor, std::nullopt, "order answered endpoint=" + answer.endpoint.value + " status=" + std::to_string(answer.status)});
    pause(now, answer.refused || answer.status == 0 ? failurePause : orderPause);
}

} // namespace plantainpoint
