// The software version that began each stream. Versions of one service may serve side by side, and a stream may go on only at the one that began it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "endpoint_directory.hpp"
#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"
#include "route_table.hpp"

namespace plantainpoint {

// Identifies a stream by the id of the request that brought its first event.
std::uint64_t streamKeyOf(std::string_view requestId);

// From what a VM knows where a stream that is taken up began.
enum class version_source : std::uint8_t {
    Memory, // It began here, or a read for another stream has returned its record.
    Record, // The read for this stream has returned its record.
    OtherVm, // Another VM keeps its record.
    Default, // A read that lacks nothing has shown no record of it.
    DefaultOfVms, // The directory lacks records or could not be read, and other VMs keep no record of it.
    OnlyVersion, // The directory could not be read, and no other version has served.
};

// What VMs need to know of a stream that begins.
enum class record_need : std::uint8_t {
    None, // It began at the default version, and no other one has served.
    Copies, // It began at the default version. Copies of its record prove that where the directory cannot.
    Record, // Its first event has to wait for its record.
};

constexpr std::string_view nameOf(version_source value)
{
    constexpr std::string_view names[]{"memory", "record", "other_vm", "default", "default_of_vms", "only_version"};
    return names[static_cast<std::size_t>(value)];
}

// Every service has a default version in the directory: a stream without a record began at it. Any other stream is recorded in the directory before its
// first event reaches the caller, so that every VM can tell where it began, also when all VMs have been lost in between. The default changes only when no
// other version has served for the lifetime of a stream. A VM that does not know the default for certain records every stream.
class stream_versions
{
public:
    static constexpr duration streamLifetime = std::chrono::seconds{60}; // No caller takes a stream up later than this after its begin.

    explicit stream_versions(time_point startedAt)
        : m_startedAt(startedAt)
    {
    }

    // Takes over the versions of the endpoints. Services whose streams cannot be taken up have none.
    void onEndpoints(const route_table &routes, const endpoint_directory &endpoints, time_point now);

    // Records the begin of a stream.
    record_need begin(std::uint64_t stream, const stream_origin &origin, time_point now);
    // Keeps a record of another VM, and stores it as well if that is wanted.
    void keep(const stream_record &record, bool stores, time_point now);
    // Another VM has stored records of this one.
    void onStoredElsewhere(const std::vector<std::uint64_t> &streams, time_point now);
    bool isStored(std::uint64_t stream) const;
    // Returns whether the directory has failed to take the last records of this VM, or has had them for too long.
    bool isAppendFailing(time_point now) const;
    // Returns whether records are stored, by this VM or by another one. A stream that begins elsewhere than at the default version must not begin without a
    // record.
    bool canRecord(time_point now) const;
    // Returns the version at which streams need no record, if this VM knows one.
    std::optional<software_version> defaultVersion(const service_name &service) const;

    // Returns whether the lack of a record after a read tells that a stream of at most the given age began at the default version.
    bool isComplete(duration age, time_point now) const { return !m_lostAt || now - *m_lostAt >= age; }

    // Returns whether the directory may have lost records of streams of at most the given age before this VM started, which it cannot tell.
    bool mayHaveLostBefore(duration age, time_point now) const { return m_wasRestored && now - m_startedAt < age; }

    // Returns where a stream began if no read of the directory is needed to tell.
    std::optional<stream_origin> findKnown(std::uint64_t stream) const;
    // Returns where a stream began, after a read of the directory that has succeeded or failed, or nothing if that cannot be known.
    std::optional<stream_origin> find(std::uint64_t stream, const service_name &service, bool readSucceeded, time_point now) const;

    // Returns where a stream without an id began, if all streams of the service that may be taken up began at one version.
    std::optional<stream_origin> findWithoutId(const service_name &service, bool readSucceeded, time_point now) const;

    // Returns the records to append and to remove now, if there are any.
    std::optional<append_stream_records> takeRecords(time_point now);
    // Returns the streams whose records are stored.
    std::vector<std::uint64_t> on(const stream_records_appended &appended, time_point now);
    void on(const stream_records_read &read, time_point now);
    // Stores what this VM knows once more, as the directory has lost a part of its history.
    void onLost(time_point now);
    // The directory may lack records.
    void onIncomplete(time_point now) { m_lostAt = now; }
    // Takes over what another VM knows of the default versions.
    void onDefaults(const default_versions &defaults, time_point now);
    // Returns what other VMs are told, or nothing without a successful read.
    std::optional<default_versions> defaults(time_point now) const;

    // Returns whether the default versions have to be read to be certain.
    bool isUncertain() const;
    // Returns the defaults that have to be set, by the VM that leads the fleet.
    std::optional<set_default_versions> missingDefaults(time_point now);
    // Forgets streams that nobody takes up any more.
    void tick(time_point now);

private:
    struct known_service {
        std::map<software_version, time_point> seenAt; // Versions, with the time at which they were last listed.
        std::map<software_version, int> listed; // Number of endpoints.
        time_point changedAt{}; // Time of the last change of the listed versions.
    };
    struct known_stream {
        stream_origin origin;
        time_point at{};
        bool isOwn = false; // This VM has recorded it, for itself or for another VM.
        bool isWriter = false; // This VM appends the record until the directory has it, and removes it when nobody takes the stream up any more.
        bool isStored = false; // The directory has the record.
    };

    void markStored(const std::vector<std::uint64_t> &streams);
    // Returns whether the known default cannot have changed meanwhile.
    bool isCertain(const service_name &service, const known_service &known) const;
    // Returns the only version that has served within the lifetime of a stream, as far as this VM has seen.
    static std::optional<software_version> onlyVersion(const known_service &known, time_point now);

    time_point m_startedAt;
    std::map<service_name, known_service> m_services;
    std::map<service_name, software_version> m_defaults;
    std::map<service_name, software_version> m_lostDefaults; // Defaults that were known before the directory lost them.
    std::uint64_t m_defaultsEnd = 0; // Position behind the last default that was read.
    std::optional<time_point> m_defaultsAsOf; // Begin of the newest read of the defaults, here or at another VM.
    std::unordered_map<std::uint64_t, known_stream> m_streams; // Recorded streams.
    append_stream_records m_unsent;
    append_stream_records m_sent; // The open append.
    time_point m_removeAt{}; // Records are removed together with others until then.
    time_point m_sentAt{};
    time_point m_retryAt{};
    time_point m_nextDefaultsAt{};
    bool m_failing = false;
    bool m_wasRestored = false; // The directory has come back from a copy at some time.
    std::optional<time_point> m_lostAt; // The directory has lost records that it had acknowledged before.
    std::optional<time_point> m_storedElsewhereAt; // Time at which another VM last told that it has stored records of this one.
};

} // namespace plantainpoint
