#include "placer.hpp"

#include <algorithm>
#include <utility>

namespace plantainpoint {

namespace {

// Fraction of the time to the deadline. A caller that is refused later cannot retry in time.
constexpr double maxWaitFraction = 0.6;
constexpr double lowestThroughput = 1e-6; // Requests a second. It only avoids a division by zero.
constexpr double longestExpectedWait = 3600; // Seconds.

} // namespace

placer::placer(endpoint_directory &endpoints, const fleet_view &fleet, const engine_speeds &speeds, const data_centre_name &dataCentre)
    : m_endpoints(endpoints)
    , m_fleet(fleet)
    , m_speeds(speeds)
    , m_dataCentre(dataCentre)
{
}

std::vector<endpoint_entry *> placer::plainCandidates(const service_name &service, time_point now) const
{
    auto candidates = m_endpoints.candidates(service, endpoint_role::Plain, now);
    const auto decodes = m_endpoints.candidates(service, endpoint_role::Decode, now);
    candidates.insert(candidates.end(), decodes.begin(), decodes.end());
    return candidates;
}

// Endpoints of evacuated data centres get only what no other one has room for. The other data centres share the work by the costs of their endpoints, which
// rise with their load.
std::optional<model_placement> placer::choose(const placement_request &request, time_point now) const
{
    if (m_endpoints.isHeld(now)) {
        return std::nullopt;
    }
    const auto elsewhere = m_endpoints.hasEvacuated() ? chooseAmong(request, false, now) : std::nullopt;
    return elsewhere ? elsewhere : chooseAmong(request, true, now);
}

std::optional<model_placement> placer::chooseAmong(const placement_request &request, bool evacuatedToo, time_point now) const
{
    const auto allowed = [&](std::vector<endpoint_entry *> endpoints) { return evacuatedToo ? std::move(endpoints) : withoutEvacuated(std::move(endpoints)); };
    const placement_context context{
        m_fleet, m_dataCentre, m_speeds, now, request.excluded, request.maxEventGap, request.version, request.owner.isLocal(), request.seed};
    if (!request.engine || !request.tokens) {
        auto *const endpoint = choosePlain(allowed(plainCandidates(request.service, now)), context);
        return endpoint == nullptr ? std::nullopt : std::optional(model_placement{nullptr, endpoint, {}, knowledgeOf(*endpoint, context)});
    }
    const auto decodes = allowed(m_endpoints.candidates(request.service, endpoint_role::Decode, now));
    const auto prefills = request.mayPrefill ? allowed(m_endpoints.candidates(request.service, endpoint_role::Prefill, now)) : std::vector<endpoint_entry *>{};
    return chooseModel(prefills, decodes, *request.engine, *request.tokens, context);
}

duration placer::expectedWait(const placement_request &request, time_point now) const
{
    std::int64_t slots = 1;
    auto holdTime = std::max<duration>(request.holdTime, std::chrono::milliseconds{1});
    auto candidates = plainCandidates(request.service, now);
    std::erase_if(candidates, [&](const auto *candidate) {
        return !candidate->serves(request.version) || (request.bound && request.excluded.contains(candidate->info.name));
    });
    for (const auto *candidate : candidates) {
        slots += candidate->info.slots;
        holdTime = std::max(holdTime, candidate->endpointStatistics.meanHoldTime());
    }
    const auto queue = m_waiting.find(request.service);
    const auto here = queue == m_waiting.end() ? 0 : static_cast<std::int64_t>(queue->second.size());
    const auto bySlots = holdTime * (1 + waitingFor(request.service)) / slots;
    if (!m_endpoints.hasLimits(request.service, now)) {
        return bySlots;
    }
    double perSecond = 0;
    double longest = longestExpectedWait;
    for (const auto *candidate : candidates) {
        perSecond += candidate->throughput(holdTime, now);
        // Only its slots bound an endpoint that has become warm.
        if (candidate->warmup.isCold(now) && !candidate->pace.rate()) {
            longest = std::min(longest, std::chrono::duration<double>(candidate->warmup.coldUntil() - now).count());
        }
    }
    // The requests that wait at other VMs use parts of the limits of their own.
    const double seconds = std::min(static_cast<double>(here + 1) / std::max(perSecond, lowestThroughput), longest);
    return std::max(bySlots, std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds)));
}

bool placer::waitsForPermits(const service_name &service, time_point now) const
{
    const auto queue = m_waiting.find(service);
    return queue != m_waiting.end() && !queue->second.empty() && m_endpoints.onlyLimited(service, now);
}

std::string wait_refusal::text() const
{
    const auto millis = [](duration value) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()); };
    return "expected_ms=" + millis(expected) + " longest_ms=" + millis(longest) + " places=" + std::to_string(places) + " taken=" + std::to_string(taken)
           + " waiting=" + std::to_string(waiting);
}

// Returns the requests that wait for a place of the service, here and at other VMs.
std::int64_t placer::waitingFor(const service_name &service) const
{
    const auto queue = m_waiting.find(service);
    const auto here = queue == m_waiting.end() ? 0 : static_cast<std::int64_t>(queue->second.size());
    return here + m_fleet.waitingElsewhere(service);
}

wait_refusal placer::refusalOf(const placement_request &request, duration expected, duration longest, time_point now) const
{
    wait_refusal out{.expected = expected, .longest = longest, .waiting = waitingFor(request.service)};
    for (const auto *candidate : plainCandidates(request.service, now)) {
        out.places += candidate->info.slots;
        out.taken += static_cast<std::int64_t>(candidate->open.size()) + m_fleet.loadAt(candidate->info.name).running;
    }
    return out;
}

std::optional<wait_refusal> placer::enqueueOrRefuse(placement_request request, time_point now)
{
    const auto expected = expectedWait(request, now);
    auto longest = std::chrono::duration_cast<duration>((request.latest - now) * maxWaitFraction);
    // Limits tell when a place is expected, so that a request that would be late because others wait is refused at once.
    auto &queue = m_waiting[request.service];
    if (!queue.empty() && !request.begun && m_endpoints.onlyLimited(request.service, now)) {
        longest = std::min(longest, request.arrivedAt + request.objective - now);
    }
    if (expected > longest) {
        return refusalOf(request, expected, longest, now);
    }
    const auto position = std::find_if(queue.begin(), queue.end(), [&](const auto &queued) { return queued.priority > request.priority; });
    queue.insert(position, std::move(request));
    return std::nullopt;
}

void placer::remove(const place_owner &owner)
{
    for (auto &[service, queue] : m_waiting) {
        std::erase_if(queue, [&](const auto &queued) { return queued.owner == owner; });
    }
}

bool placer::missesObjective(const placement_request &request, time_point now) const
{
    const auto needed = request.tokens ? m_meanStartDelay + readingTime(request.tokens->prompt, m_speeds.prefillTokensPerMs) : duration{};
    return now + needed > request.arrivedAt + request.objective;
}

// Places streams that have broken off first. Requests that can still meet their objective follow, the newest before the others: an overload then makes
// some of them late instead of delaying each by a little. Late requests come last, in the order of their arrival.
void placer::placeWaiting(time_point now, const place_sink &apply)
{
    for (auto &[service, queue] : m_waiting) {
        if (queue.empty()) {
            continue;
        }
        // The caller has left, or its VM has decided by itself.
        std::erase_if(queue, [&](const auto &queued) { return !queued.owner.isLocal() && now >= queued.latest; });
        std::vector<place_owner> order;
        std::vector<place_owner> inTime;
        std::vector<place_owner> late;
        // Requests that wait for permits were promised a place in the order of their arrival.
        const bool byArrival = m_endpoints.onlyLimited(service, now);
        for (const auto &queued : queue) {
            auto &group = queued.begun ? order : byArrival || missesObjective(queued, now) ? late : inTime;
            group.push_back(queued.owner);
        }
        order.insert(order.end(), inTime.rbegin(), inTime.rend());
        order.insert(order.end(), late.begin(), late.end());
        // The first request that finds no place ends the round, so that smaller requests behind it do not starve large ones.
        for (const auto &owner : order) {
            const auto it = std::find_if(queue.begin(), queue.end(), [&](const auto &queued) { return queued.owner == owner; });
            if (it == queue.end()) {
                continue; // Placing another request has ended this one.
            }
            const auto request = *it;
            const auto placement = choose(request, now);
            if (placement && apply(request, *placement)) {
                remove(owner);
            } else if (!request.bound && !(request.version && !placement)) {
                break; // Otherwise, endpoints of other versions or regions may have room for the requests behind it.
            }
        }
    }
}

void placer::recordStartDelay(duration delay)
{
    constexpr std::int64_t oldWeight = 7; // Weight out of eight. The mean follows a change of load within some ten requests.
    m_meanStartDelay = (m_meanStartDelay * oldWeight + std::max(delay, duration{})) / (oldWeight + 1);
}

std::size_t placer::waiting() const
{
    std::size_t count = 0;
    for (const auto &[service, queue] : m_waiting) {
        count += queue.size();
    }
    return count;
}

std::size_t placer::waitingLocally() const
{
    std::size_t count = 0;
    for (const auto &each : waitingByService()) {
        count += static_cast<std::size_t>(each.requests);
    }
    return count;
}

std::vector<waiting_count> placer::waitingByService() const
{
    std::vector<waiting_count> counts;
    for (const auto &[service, queue] : m_waiting) {
        const auto local = std::count_if(queue.begin(), queue.end(), [](const auto &queued) { return queued.owner.isLocal(); });
        if (local > 0) {
            counts.push_back({service, static_cast<std::int32_t>(local)});
        }
    }
    return counts;
}

} // namespace plantainpoint
