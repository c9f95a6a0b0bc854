#include "evacuations.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

// Part of the bound in which endpoints of an evacuated data centre still get requests that no other endpoint has room for. The other half covers a request
// whose connection is being established, and a suspension of the VM that is too short to be noticed.
constexpr std::int64_t movingFraction = 2;

} // namespace

time_point evacuations::closedFrom(const record &each) const
{
    return each.since ? *each.since + m_bound / movingFraction : time_point{};
}

bool evacuations::update(const evacuation &known, time_point now)
{
    if (!hasRoomFor(known.dataCentre)) {
        return false;
    }
    auto &each = m_records[known.dataCentre];
    // The records of a page that is read as a whole may be newer than its position, so that two VMs may know different ones at the same position until they
    // have read on. The evacuation counts until then.
    const bool isNewer = known.position > each.position || (known.position == each.position && known.inForce && !each.inForce);
    if (!isNewer) {
        return false;
    }
    each.position = known.position;
    if (each.inForce == known.inForce) {
        return false; // The first record counts for the time that has passed.
    }
    each.inForce = known.inForce;
    each.closed = false;
    const bool isAgeKnown = known.age <= m_bound;
    each.since = known.inForce && isAgeKnown ? std::optional(now - known.age) : std::nullopt;
    return true;
}

std::vector<evacuation> evacuations::missingFrom(const evacuations_read &read, time_point now) const
{
    std::vector<evacuation> out;
    for (auto &known : all(now)) {
        const bool isWithin = known.position >= read.completeFrom && known.position < read.completeTo;
        const bool isListed =
            std::any_of(read.evacuations.begin(), read.evacuations.end(), [&](const auto &each) { return each.dataCentre == known.dataCentre; });
        if (known.inForce && isWithin && !isListed) {
            out.push_back({known.dataCentre, false, read.completeTo, {}});
        }
    }
    return out;
}

std::vector<evacuation> evacuations::all(time_point now) const
{
    std::vector<evacuation> out;
    for (const auto &[dataCentre, each] : m_records) {
        out.push_back({dataCentre, each.inForce, each.position, each.since ? now - *each.since : duration::max()});
    }
    return out;
}

std::map<data_centre_name, time_point> evacuations::closing() const
{
    std::map<data_centre_name, time_point> out;
    for (const auto &[dataCentre, each] : m_records) {
        if (each.inForce) {
            out.emplace(dataCentre, closedFrom(each));
        }
    }
    return out;
}

std::optional<time_point> evacuations::nextClosing(time_point now) const
{
    std::optional<time_point> next;
    for (const auto &[dataCentre, each] : m_records) {
        if (each.inForce && !each.closed) {
            const auto at = std::max(closedFrom(each), now);
            next = std::min(next.value_or(at), at);
        }
    }
    return next;
}

std::vector<data_centre_name> evacuations::takeClosed(time_point now)
{
    std::vector<data_centre_name> out;
    for (auto &[dataCentre, each] : m_records) {
        if (each.inForce && !each.closed && closedFrom(each) <= now) {
            each.closed = true;
            out.push_back(dataCentre);
        }
    }
    return out;
}

std::size_t evacuations::inForce() const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [](const auto &item) { return item.second.inForce; }));
}

} // namespace plantainpoint
