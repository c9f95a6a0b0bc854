#include "crash_evidence.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantainpoint {

namespace {

using std::chrono::milliseconds;

constexpr auto memoryTime = std::chrono::minutes{10}; // Crashes and answers are forgotten after this time.
constexpr auto tellingTime = milliseconds{700}; // News is repeated for this time, so that a lost message only delays it.
constexpr auto repeatInterval = std::chrono::seconds{5}; // Time between two repetitions for VMs that know something else.
// Crashes are not told after this time, as a VM that has forgotten them would take them over anew.
constexpr auto maxToldAge = memoryTime - std::chrono::seconds{10};
// Endpoints that end within this time count as one crash, as a failure of their machine or network ends several at once.
constexpr auto sameCrashTime = milliseconds{20};
constexpr std::int32_t neededForNewTraits = 3;
constexpr std::int32_t neededForAnsweredTraits = 5; // Of traits on which answers were written before the crashes.
constexpr std::int32_t neededForSuspectedTraits = 2; // Of traits of quarantined prompts. Another trait may be to blame for one more crash.
constexpr double answeredWeight = 0.5; // Weight of such traits as an explanation.
constexpr std::size_t maxCrashes = 256;
constexpr std::size_t maxAnswers = 8192;
constexpr std::size_t maxRequestsPerCrash = 64;
constexpr std::size_t maxTold = 16; // Crashes, or answered traits, in one message.
constexpr std::size_t maxToldRequests = 256; // Lost requests in one message, so that it fits into a datagram.

// Returns the entries of a map in the order of their keys, beginning after a key and ending with it.
template<class Map>
std::vector<typename Map::const_iterator> entriesAfter(const Map &map, const typename Map::key_type &key)
{
    std::vector<typename Map::const_iterator> entries;
    const auto first = map.upper_bound(key);
    for (auto it = first; it != map.end(); ++it) {
        entries.push_back(it);
    }
    for (auto it = map.begin(); it != first; ++it) {
        entries.push_back(it);
    }
    return entries;
}

// Returns whether a request has the content of quarantined ones. The content stands for its other traits.
bool holdsContentOf(const std::vector<request_traits> &quarantined, const request_traits &request)
{
    return std::any_of(quarantined.begin(), quarantined.end(), [&](const auto &traits) {
        return std::any_of(traits.begin(), traits.end(), isContent) && containsAll(request, traits);
    });
}

} // namespace

void crash_evidence::onCrash(const endpoint_name &endpoint, std::int64_t startedAt, const std::vector<request_traits> &requests, time_point at, time_point now)
{
    if (now - at >= maxToldAge) {
        return;
    }
    const auto [it, added] = m_crashes.try_emplace({endpoint, startedAt});
    auto &entry = it->second;
    const auto before = std::exchange(entry.at, added ? at : std::min(entry.at, at));
    bool news = added;
    for (const auto &request : requests) {
        const bool known = std::find(entry.requests.begin(), entry.requests.end(), request) != entry.requests.end();
        if (known || request.empty() || entry.requests.size() >= maxRequestsPerCrash) {
            continue;
        }
        entry.requests.push_back(request);
        news = true;
        for (const auto &trait : request) {
            auto &lostAt = m_lostTraits[trait];
            lostAt = std::max(lostAt, entry.at);
            // Other VMs may not know that the trait was answered here.
            if (const auto answered = m_answers.find(trait); answered != m_answers.end()) {
                tellIfNews(answered->second, lostAt, now);
            }
        }
    }
    if (news) {
        entry.learntAt = now;
    }
    // Whether an answer came after the crash depends on its time.
    if (news || entry.at != before) {
        m_digest.reset();
    }
    if (m_crashes.size() > maxCrashes) {
        m_crashes.erase(std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto &a, const auto &b) { return a.second.at < b.second.at; }));
    }
}

bool crash_evidence::onAnswered(const request_traits &traits, time_point at, time_point now)
{
    bool wasLost = false;
    for (const auto &trait : traits) {
        const auto lost = m_lostTraits.find(trait);
        // Most contents come once. They matter only after a crash.
        if (isContent(trait) && lost == m_lostTraits.end()) {
            continue;
        }
        auto &entry = m_answers[trait];
        const auto before = std::exchange(entry.at, std::max(entry.at, at));
        if (lost != m_lostTraits.end()) {
            wasLost = true;
            if (before < lost->second) {
                m_digest.reset();
            }
            tellIfNews(entry, lost->second, now);
        }
    }
    if (m_answers.size() > maxAnswers) {
        forgetOldAnswers(now);
    }
    return wasLost;
}

// An answer is news to others if it is the first one, or the first one after a crash.
void crash_evidence::tellIfNews(answer &entry, time_point lostAt, time_point now)
{
    const bool isFirst = entry.toldAnswerAt == time_point{};
    if (isFirst || (entry.at > lostAt && entry.toldAnswerAt <= lostAt)) {
        entry.toldAt = now;
        entry.toldAnswerAt = entry.at;
    }
}

void crash_evidence::forgetOldAnswers(time_point now)
{
    m_digest.reset();
    std::erase_if(m_answers, [&](const auto &item) { return now - item.second.at > memoryTime; });
    if (m_answers.size() <= maxAnswers) {
        return;
    }
    std::vector<time_point> times;
    for (const auto &[trait, entry] : m_answers) {
        times.push_back(entry.at);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(m_answers, [&](const auto &item) { return item.second.at < *middle; });
}

std::optional<time_point> crash_evidence::answeredAt(const request_trait &trait) const
{
    const auto it = m_answers.find(trait);
    return it == m_answers.end() ? std::nullopt : std::optional(it->second.at);
}

// Returns those of the crashes in which a request with the trait was lost and after which the trait was not answered, with these requests.
crash_evidence::trait_record crash_evidence::recordOf(const request_trait &trait, const std::vector<const crash *> &crashes) const
{
    trait_record record;
    const auto answered = answeredAt(trait);
    for (const auto *each : crashes) {
        if (answered && each->at <= *answered) {
            continue;
        }
        const auto before = record.requests.size();
        for (const auto &request : each->requests) {
            if (std::binary_search(request.begin(), request.end(), trait)) {
                record.requests.push_back(&request);
            }
        }
        if (record.requests.size() > before) {
            record.crashes.push_back(each);
        }
    }
    return record;
}

std::int32_t crash_evidence::countMoments(const std::vector<const crash *> &crashes)
{
    std::int32_t count = 0;
    std::optional<time_point> last;
    for (const auto *each : crashes) {
        if (!last || each->at - *last >= sameCrashTime) {
            ++count;
            last = each->at;
        }
    }
    return count;
}

std::int32_t crash_evidence::neededCrashes(const request_trait &trait, const std::set<request_trait> &onProbation) const
{
    if (onProbation.contains(trait)) {
        return 1;
    }
    return answeredAt(trait) ? neededForAnsweredTraits : neededForNewTraits;
}

// Returns the traits that all requests with the trait have in common and that were not answered since the first of the crashes.
request_traits crash_evidence::commonTraits(const request_trait &trait, const trait_record &record) const
{
    // The content determines all other traits.
    if (isContent(trait)) {
        return {trait};
    }
    auto common = *record.requests.front();
    for (const auto *request : record.requests) {
        request_traits rest;
        std::set_intersection(common.begin(), common.end(), request->begin(), request->end(), std::back_inserter(rest));
        common = std::move(rest);
    }
    std::erase_if(common, [&](const auto &other) {
        const auto answered = answeredAt(other);
        return other != trait && answered && *answered > record.crashes.front()->at;
    });
    return common;
}

std::optional<crash_evidence::suspect> crash_evidence::findSuspect(const std::vector<request_traits> &explained,
                                                                   const std::set<request_trait> &onProbation) const
{
    std::vector<const crash *> all;
    for (const auto &[key, entry] : m_crashes) {
        all.push_back(&entry);
    }
    std::sort(all.begin(), all.end(), [](const auto *a, const auto *b) { return a->at < b->at; });
    const auto isExplained = [&](const crash *each) {
        return std::any_of(each->requests.begin(), each->requests.end(), [&](const auto &request) {
            return std::any_of(explained.begin(), explained.end(), [&](const auto &traits) { return containsAll(request, traits); });
        });
    };
    std::set<request_trait> besideContents;
    for (const auto *each : all) {
        for (const auto &request : each->requests) {
            if (holdsContentOf(explained, request)) {
                besideContents.insert(request.begin(), request.end());
            }
        }
    }
    std::vector<const crash *> open;
    std::copy_if(all.begin(), all.end(), std::back_inserter(open), [&](const auto *each) { return !isExplained(each); });
    std::map<request_trait, std::int32_t> lostRequests;
    for (const auto *each : open) {
        for (const auto &request : each->requests) {
            for (const auto &trait : request) {
                ++lostRequests[trait];
            }
        }
    }
    std::optional<suspect> best;
    double bestScore = 0;
    std::int32_t bestMoments = 0; // Crashes that tell the candidate from others.
    bool tied = false;
    for (const auto &item : lostRequests) {
        const auto &trait = item.first;
        const auto count = item.second;
        // A trait of quarantined ones that crashes endpoints without the others is judged by all of its crashes.
        const bool isKnown =
            std::any_of(explained.begin(), explained.end(), [&](const auto &traits) { return std::binary_search(traits.begin(), traits.end(), trait); });
        // So is a trait of a quarantined prompt that was never answered, if endpoints go on crashing with it.
        const bool isSuspected = !isKnown && besideContents.contains(trait) && !answeredAt(trait);
        const auto usuallyNeeded = neededCrashes(trait, onProbation);
        const auto needed = isSuspected ? std::min(neededForSuspectedTraits, usuallyNeeded) : usuallyNeeded;
        if (!isKnown && count < needed) {
            continue;
        }
        const auto openMoments = countMoments(recordOf(trait, open).crashes);
        const auto record = recordOf(trait, isKnown || isSuspected ? all : open);
        const auto moments = countMoments(record.crashes);
        if (moments < usuallyNeeded || (isSuspected && openMoments < needed)) {
            continue;
        }
        // Prefers traits that explain many crashes by few requests.
        const double score = moments * moments * (answeredAt(trait) ? answeredWeight : 1) / static_cast<double>(record.requests.size());
        auto traits = commonTraits(trait, record);
        if (!best || score > bestScore) {
            best = suspect{std::move(traits), moments};
            bestScore = score;
            bestMoments = isSuspected ? openMoments : moments;
            tied = false;
        } else if (score == bestScore && traits != best->traits) {
            tied = true;
        }
    }
    // One more crash tells candidates apart that explain the crashes equally well.
    return tied && bestMoments < neededForAnsweredTraits ? std::nullopt : best;
}

bool crash_evidence::isSuspicious(const request_traits &traits) const
{
    return std::any_of(traits.begin(), traits.end(), [&](const auto &trait) {
        const auto answered = answeredAt(trait);
        return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const auto &item) {
            const auto &entry = item.second;
            return (!answered || entry.at > *answered) && std::any_of(entry.requests.begin(), entry.requests.end(), [&](const auto &request) {
                       return std::binary_search(request.begin(), request.end(), trait);
                   });
        });
    });
}

bool crash_evidence::isRefuted(const request_traits &traits, time_point quarantinedAt) const
{
    std::optional<time_point> answered;
    for (const auto &trait : traits) {
        const auto at = answeredAt(trait);
        if (!at) {
            return false;
        }
        answered = std::min(answered.value_or(*at), *at);
    }
    std::vector<const crash *> crashes;
    bool isKnown = false;
    for (const auto &[key, entry] : m_crashes) {
        const bool holds = std::any_of(entry.requests.begin(), entry.requests.end(), [&](const auto &request) { return containsAll(request, traits); });
        isKnown = isKnown || holds;
        if (holds && entry.at > *answered) {
            crashes.push_back(&entry);
        }
    }
    std::sort(crashes.begin(), crashes.end(), [](const auto *a, const auto *b) { return a->at < b->at; });
    return isKnown ? countMoments(crashes) < neededForAnsweredTraits : answered && *answered > quarantinedAt;
}

void crash_evidence::addTold(crash_report &evidence, time_point now) const
{
    std::size_t requests = 0;
    const auto addCrash = [&](const crash_key &key, const crash &entry) {
        const bool fits = evidence.crashes.size() < maxTold && requests + entry.requests.size() <= maxToldRequests;
        if (fits && now - entry.at < maxToldAge) {
            requests += entry.requests.size();
            evidence.crashes.push_back({key.first, key.second, now - entry.at, entry.requests});
        }
    };
    const auto addAnswer = [&](const request_trait &trait, const answer &entry) {
        if (evidence.answered.size() < maxTold) {
            evidence.answered.push_back({trait, now - entry.at});
        }
    };
    const auto isNews = [&](time_point knownAt) { return now - knownAt < tellingTime; };
    for (const auto &[key, entry] : m_crashes) {
        if (isNews(entry.learntAt)) {
            addCrash(key, entry);
        }
    }
    for (const auto &[trait, lostAt] : m_lostTraits) {
        const auto it = m_answers.find(trait);
        if (it != m_answers.end() && isNews(it->second.toldAt)) {
            addAnswer(trait, it->second);
        }
    }
    if (!isRepeated(now)) {
        return;
    }
    for (const auto &key : m_repetition.crashes) {
        const auto it = m_crashes.find(key);
        if (it != m_crashes.end() && !isNews(it->second.learntAt)) {
            addCrash(key, it->second);
        }
    }
    for (const auto &trait : m_repetition.answers) {
        const auto it = m_answers.find(trait);
        if (it != m_answers.end() && !isNews(it->second.toldAt)) {
            addAnswer(trait, it->second);
        }
    }
}

std::uint32_t crash_evidence::digest(time_point now) const
{
    if (m_digest && now < m_digest->validUntil) {
        return m_digest->value;
    }
    std::uint64_t sum = 0;
    auto validUntil = time_point::max();
    for (const auto &[key, entry] : m_crashes) {
        if (now - entry.at >= maxToldAge) {
            continue;
        }
        validUntil = std::min(validUntil, entry.at + maxToldAge);
        const auto crashHash = stableHash(std::to_string(key.second), stableHash(key.first.value));
        sum += crashHash;
        // VMs may know different ones of the lost requests if there are more than a VM remembers.
        if (entry.requests.size() >= maxRequestsPerCrash) {
            continue;
        }
        std::set<request_trait> traits;
        for (const auto &request : entry.requests) {
            sum += stableHash(traitsText(request), crashHash);
            traits.insert(request.begin(), request.end());
        }
        // The times of answers differ among VMs. What counts is which crashes they are later than.
        for (const auto &trait : traits) {
            if (const auto answered = answeredAt(trait)) {
                sum += stableHash(*answered >= entry.at ? "answered after" : "answered before", stableHash(trait.value, crashHash));
            }
        }
    }
    const auto folded = static_cast<std::uint32_t>(sum ^ (sum >> 32U));
    m_digest = {.value = sum == 0 ? 0 : std::max(folded, 1U), .validUntil = validUntil};
    return m_digest->value;
}

void crash_evidence::onDigest(std::uint32_t other, time_point now)
{
    if (!m_crashes.empty() && other != digest(now) && (!m_repetition.at || now - *m_repetition.at >= repeatInterval)) {
        repeat(now);
    }
}

void crash_evidence::repeat(time_point now)
{
    m_repetition.at = now;
    m_repetition.crashes.clear();
    m_repetition.answers.clear();
    std::size_t requests = 0;
    for (const auto &it : entriesAfter(m_crashes, m_repetition.lastCrash)) {
        requests += it->second.requests.size();
        if (m_repetition.crashes.size() >= maxTold || requests > maxToldRequests) {
            break;
        }
        m_repetition.crashes.insert(it->first);
        m_repetition.lastCrash = it->first;
    }
    for (const auto &it : entriesAfter(m_lostTraits, m_repetition.lastAnswer)) {
        if (m_repetition.answers.size() >= maxTold) {
            break;
        }
        if (m_answers.contains(it->first)) {
            m_repetition.answers.insert(it->first);
            m_repetition.lastAnswer = it->first;
        }
    }
}

bool crash_evidence::isRepeated(time_point now) const
{
    return m_repetition.at && now - *m_repetition.at < tellingTime;
}

void crash_evidence::tick(time_point now)
{
    if (std::erase_if(m_crashes, [&](const auto &item) { return now - item.second.at > memoryTime; }) == 0) {
        return;
    }
    m_digest.reset();
    m_lostTraits.clear();
    for (const auto &[key, entry] : m_crashes) {
        for (const auto &request : entry.requests) {
            for (const auto &trait : request) {
                auto &lostAt = m_lostTraits[trait];
                lostAt = std::max(lostAt, entry.at);
            }
        }
    }
}

} // namespace plantainpoint
