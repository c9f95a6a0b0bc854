// Records of streams that VMs keep for each other while the directory does not take them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// The records of this VM that the directory has not acknowledged, and the VMs that keep copies of them.
//
// A VM that is cut off from the directory still reaches other VMs, which store its records. While the directory is away for all of them, they keep the
// records, answer callers by them, and store them when it is back.
class record_keepers
{
public:
    // Copies of a record that are enough while no VM can store it. The VMs are chosen without regard to their data centres.
    static constexpr std::size_t wantedCopies = 4;

    void add(const stream_record &record, time_point now);
    // Forgets records that are stored in the directory, and those that nobody takes up any more.
    void onStored(const std::vector<std::uint64_t> &streams);
    void forgetBefore(time_point time);
    bool isStored(std::uint64_t stream) const { return !m_unstored.contains(stream); }
    // Returns the number of other VMs that keep the record.
    std::size_t copiesOf(std::uint64_t stream) const;

    // Returns the records that other VMs are to be asked to keep now. The first ask for a record waits for a while unless the directory is known to fail.
    std::vector<stream_record> takeDue(bool directoryFails, time_point now);
    // Registers an ask, so that its answers are counted.
    void onAsked(std::uint64_t number, const std::vector<stream_record> &records, time_point now);
    // Registers an ask to store records and returns its receivers: some that have not been asked lately, and the VM that has last stored records for this one.
    std::vector<fleet_member>
    sendTo(std::uint64_t number, const std::vector<stream_record> &records, const std::vector<fleet_member> &candidates, time_point now);
    // Returns the streams of an ask whose records the VM keeps or has stored.
    std::vector<std::uint64_t> on(const record_keeping_answer &answer);

private:
    struct unstored_record {
        stream_record record;
        time_point begunAt{};
        time_point nextAskAt{};
        duration askInterval{};
        std::set<vm_name> keepers;
    };
    struct open_ask {
        std::vector<std::uint64_t> streams;
        time_point sentAt{};
    };

    std::map<std::uint64_t, unstored_record> m_unstored;
    std::map<std::uint64_t, open_ask> m_asks; // By number.
    std::optional<vm_name> m_lastStorer;
    std::size_t m_nextCandidate = 0;
};

// Records that this VM has promised other VMs to store.
class kept_records
{
public:
    // Adds an ask and returns the answer to it. isStored tells of a stream whether its record is stored.
    template<class Predicate>
    record_keeping_answer add(const record_keeping_ask &ask, Predicate isStored, time_point now)
    {
        promise kept{.owner = ask.from, .address = ask.address, .number = ask.number, .keptAt = now};
        for (const auto &record : ask.records) {
            if (!isStored(record.stream)) {
                kept.streams.insert(record.stream);
            }
        }
        const bool stored = kept.streams.empty();
        if (!stored && ask.stores) {
            m_promises.push_back(std::move(kept));
        }
        return {.receiverIncarnation = ask.from.number, .number = ask.number, .stored = stored};
    }
    // Returns the answers to the asks whose records are all stored now, with their addresses.
    std::vector<std::pair<std::string, record_keeping_answer>> onStored(const std::vector<std::uint64_t> &streams);
    void forgetBefore(time_point time);

private:
    struct promise {
        incarnation_id owner;
        std::string address;
        std::uint64_t number = 0;
        std::set<std::uint64_t> streams; // Those whose records are not stored.
        time_point keptAt{};
    };

    std::vector<promise> m_promises;
};

} // namespace plantainpoint
