#include "role_planner.hpp"

#include <algorithm>
#include <cmath>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr duration leadSettle = milliseconds{2000}; // longer than vmSilenceTimeout: a VM that has just started hears the others first
constexpr duration leaseMargin = milliseconds{1000}; // for orders that are on their way
constexpr duration directorySettle = milliseconds{1600}; // longer than the interval in which endpoints announce themselves
constexpr duration stepTimeout = milliseconds{1500}; // of a step whose answer is lost
constexpr duration sendWindow = milliseconds{400}; // from the append to the order; a VM that was suspended in between does not send
constexpr duration orderPause = milliseconds{300}; // between two orders
constexpr duration failurePause = milliseconds{3000};
constexpr duration switchTime = milliseconds{8000}; // in which an ordered endpoint finishes its work and changes its role

} // namespace

role_planner::role_planner(vm_name self, settings given)
    : m_self(std::move(self))
    , m_settings(given)
{
}

void role_planner::pause(time_point now, duration time)
{
    m_step = step::Idle;
    m_plan.reset();
    m_nextAt = now + time;
}

bool role_planner::leads(const fleet_view &fleet, time_point now)
{
    if (fleet.lowest(now) != m_self) {
        m_leadsSince.reset();
        return false;
    }
    m_leadsSince = m_leadsSince.value_or(now);
    return now - *m_leadsSince >= leadSettle;
}

std::optional<role_planner::plan> role_planner::wantedOf(const service_name &service, endpoint_directory &endpoints, time_point now) const
{
    auto prefills = endpoints.candidates(service, endpoint_role::Prefill, now);
    auto decodes = endpoints.candidates(service, endpoint_role::Decode, now);
    const auto changing = [&](const endpoint_entry *each) { return each->roleChangeUntil > now; };
    if (std::any_of(prefills.begin(), prefills.end(), changing) || std::any_of(decodes.begin(), decodes.end(), changing)) {
        return std::nullopt; // one at a time
    }
    const auto count = prefills.size() + decodes.size();
    const auto share = m_settings.prefillShare * static_cast<double>(count);
    const auto target = static_cast<std::size_t>(std::max(1.0, std::round(share)));
    const bool surplus = prefills.size() > target;
    const bool shortage = prefills.empty() && decodes.size() > target;
    if (!surplus && !shortage) {
        return std::nullopt;
    }
    auto &from = surplus ? prefills : decodes;
    const auto least = std::min_element(from.begin(), from.end(), [](const auto *a, const auto *b) { return a->open.size() < b->open.size(); });
    return plan{(*least)->info.name, (*least)->info.address, surplus ? endpoint_role::Decode : endpoint_role::Prefill};
}

// a fleet of endpoints that is still announcing itself has no proportions yet
bool role_planner::settled(const endpoint_directory &endpoints, time_point now)
{
    if (m_count != endpoints.size()) {
        m_count = endpoints.size();
        m_countSince = now;
    }
    return now - m_countSince >= directorySettle;
}

std::optional<role_planner::plan> role_planner::wanted(const route_table &routes, endpoint_directory &endpoints, time_point now) const
{
    for (const auto &service : routes.config().services) {
        if (!service.engine) {
            continue;
        }
        if (auto found = wantedOf(service.name, endpoints, now)) {
            return found;
        }
    }
    return std::nullopt;
}

void role_planner::tick(const route_table &routes, endpoint_directory &endpoints, const fleet_view &fleet, time_point now, std::vector<relay_command> &out)
{
    const bool known = settled(endpoints, now);
    if (m_settings.prefillShare <= 0 || !leads(fleet, now) || now < m_nextAt) {
        return;
    }
    if (m_step != step::Idle) {
        if (now - m_stepAt > stepTimeout) {
            pause(now, failurePause);
        }
        return;
    }
    m_plan = known ? wanted(routes, endpoints, now) : std::nullopt;
    if (!m_plan || !endpoints.reachable()) {
        return;
    }
    m_step = step::Reading;
    m_stepAt = now;
    out.push_back(read_order_log{});
}

std::vector<endpoint_name> role_planner::ordered(const endpoint_directory &endpoints, time_point now) const
{
    std::vector<endpoint_name> out;
    if (!m_ordered) {
        return out;
    }
    for (const auto &name : endpoints.changingRole(now)) {
        if (name == *m_ordered) {
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
    if (read.lastHolder && *read.lastHolder != m_self) {
        if (!m_foreignSince || m_foreignEnd != *read.end) {
            m_foreignSince = now;
            m_foreignEnd = *read.end;
        }
        if (const auto free = *m_foreignSince + m_settings.lease + leaseMargin; now < free) {
            pause(now, free - now);
            return;
        }
    }
    m_step = step::Appending;
    m_stepAt = now;
    out.push_back(append_order{*read.end, m_self, m_plan->endpoint, m_plan->role});
}

void role_planner::on(const order_appended &appended, endpoint_directory &endpoints, time_point now, std::vector<relay_command> &out)
{
    if (m_step != step::Appending || !m_plan) {
        return;
    }
    auto *const endpoint = endpoints.find(m_plan->endpoint);
    if (!appended.fencing || now - m_stepAt > sendWindow || endpoint == nullptr || !endpoint->usable(now)) {
        pause(now, failurePause);
        return;
    }
    m_step = step::Ordering;
    m_stepAt = now;
    endpoint->roleChangeUntil = now + switchTime;
    m_ordered = m_plan->endpoint;
    out.push_back(send_role_order{m_plan->endpoint, m_plan->address, m_self, m_plan->role, *appended.fencing});
    out.push_back(
        log_line{severity::Info,
                 log_component::Watch,
                 std::nullopt,
                 "order endpoint=" + m_plan->endpoint.value + " role=" + std::string(nameOf(m_plan->role)) + " fencing=" + std::to_string(*appended.fencing)});
}

void role_planner::on(const role_order_answered &answer, endpoint_directory &endpoints, time_point now, std::vector<relay_command> &out)
{
    if (m_step != step::Ordering || !m_plan || m_plan->endpoint != answer.endpoint) {
        return;
    }
    auto *const endpoint = endpoints.find(answer.endpoint);
    // without an answer the order may still be carried out
    if (answer.refused && endpoint != nullptr) {
        endpoint->roleChangeUntil = {};
    }
    out.push_back(log_line{
        severity::Info, log_component::Watch, std::nullopt, "order answered endpoint=" + answer.endpoint.value + " status=" + std::to_string(answer.status)});
    pause(now, answer.refused || answer.status == 0 ? failurePause : orderPause);
}

} // namespace plantainpoint
