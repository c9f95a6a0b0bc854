// Finds traits of requests that crash endpoints, from what ended endpoints were answering and from what was answered.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"
#include "request_traits.hpp"

namespace plantainpoint {

class crash_evidence
{
public:
    // Records what an ended endpoint was answering. The lists are sorted. Several VMs may report the same crash.
    void onCrash(const endpoint_name &endpoint, std::int64_t startedAt, const std::vector<request_traits> &requests, time_point at, time_point now);
    bool empty() const { return m_crashes.empty(); }
    bool knows(const endpoint_name &endpoint, std::int64_t startedAt) const { return m_crashes.contains({endpoint, startedAt}); }
    // Records that a request with the traits was answered. Returns whether one of them was lost in a crash.
    bool onAnswered(const request_traits &traits, time_point at, time_point now);

    struct suspect {
        request_traits traits; // Together they stand in every request that may have caused the crashes.
        std::int32_t crashes = 0;
    };
    // Returns the traits that explain crashes best which the given requests do not explain, or nothing if they are too few. Traits on probation have
    // crashed endpoints before.
    std::optional<suspect> findSuspect(const std::vector<request_traits> &explained, const std::set<request_trait> &onProbation) const;
    // Returns whether a request may have crashed an endpoint: one of its traits was lost in a crash and not answered since.
    bool isSuspicious(const request_traits &traits) const;
    // Returns whether answers on all of the traits contradict that they were quarantined at the time.
    bool isRefuted(const request_traits &traits, time_point quarantinedAt) const;

    // Adds what this VM has learnt lately, and what it repeats for others.
    void addTold(crash_report &evidence, time_point now) const;
    // Returns a digest of what VMs tell each other of crashes, or 0 if there is nothing to tell. VMs that know the same have the same one.
    std::uint32_t digest(time_point now) const;
    // Takes over the digest of another VM. What this VM knows is repeated for a moment if the digests differ, and every few seconds as long as they do.
    void onDigest(std::uint32_t other, time_point now);
    void tick(time_point now);

private:
    struct crash {
        time_point at{};
        time_point learntAt{};
        std::vector<request_traits> requests;
    };
    struct answer {
        time_point at{};
        time_point toldAt{}; // Time at which this VM began to tell others of an answer.
        time_point toldAnswerAt{}; // Time of that answer.
    };
    struct trait_record {
        std::vector<const crash *> crashes; // In the order of their times.
        std::vector<const request_traits *> requests;
    };

    using crash_key = std::pair<endpoint_name, std::int64_t>;

    struct repetition {
        std::optional<time_point> at;
        std::set<crash_key> crashes;
        std::set<request_trait> answers;
        // The last ones of them. The next repetition goes on after them, so that everything is repeated although a message has a limited size.
        crash_key lastCrash;
        request_trait lastAnswer;
    };
    struct cached_digest {
        std::uint32_t value = 0;
        time_point validUntil{};
    };

    std::optional<time_point> answeredAt(const request_trait &trait) const;
    trait_record recordOf(const request_trait &trait, const std::vector<const crash *> &crashes) const;
    static std::int32_t countMoments(const std::vector<const crash *> &crashes);
    std::int32_t neededCrashes(const request_trait &trait, const std::set<request_trait> &onProbation) const;
    request_traits commonTraits(const request_trait &trait, const trait_record &record) const;
    static void tellIfNews(answer &entry, time_point lostAt, time_point now);
    void forgetOldAnswers(time_point now);
    void repeat(time_point now);
    bool isRepeated(time_point now) const;

    std::map<crash_key, crash> m_crashes;
    std::map<request_trait, time_point> m_lostTraits; // Traits that stand in some crash, with the time of the last one.
    std::unordered_map<request_trait, answer> m_answers;
    repetition m_repetition;
    mutable std::optional<cached_digest> m_digest; // It is empty after a change.
};

} // namespace plantainpoint
