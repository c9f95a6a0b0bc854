// The operator's evacuations of data centres, merged from the directory and from other VMs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// The newest record of each data centre counts. An evacuation that has ended is remembered, so that a late message of a VM that does not know of its end
// cannot reinstate it.
class evacuations
{
public:
    // Requests may not reach an endpoint so long after the record.
    explicit evacuations(duration bound)
        : m_bound(bound)
    {
    }

    // Returns whether a record of the data centre is kept. The number of data centres with one is bounded.
    bool hasRoomFor(const data_centre_name &dataCentre) const { return m_records.size() < maxEvacuations || m_records.contains(dataCentre); }
    // Takes over what the directory's reader or another VM knows. Returns whether the data centre is evacuated, or is not evacuated any more, because of it.
    bool update(const evacuation &known, time_point now);
    // Returns those that a complete read of the directory does not list although they lie within it: they have ended.
    std::vector<evacuation> missingFrom(const evacuations_read &read, time_point now) const;

    // Records that the directory's records were read, here or by a VM whose state was imported.
    void setKnown() { m_known = true; }
    bool known() const { return m_known; }

    // Returns what other VMs are told: all data centres that have ever had a record.
    std::vector<evacuation> all(time_point now) const;
    // Returns the evacuated data centres with the time from which their endpoints get no request. Before it they get one only if no other has room.
    std::map<data_centre_name, time_point> closing() const;
    // Returns the next time at which a data centre closes.
    std::optional<time_point> nextClosing(time_point now) const;
    // Returns the data centres that have closed since the last call.
    std::vector<data_centre_name> takeClosed(time_point now);

    std::size_t inForce() const;

private:
    struct record {
        bool inForce = false;
        std::uint64_t position = 0;
        std::optional<time_point> since; // The operator wrote the record at this time or later. Empty if that is not known.
        bool closed = false; // takeClosed() has returned it.
    };
    time_point closedFrom(const record &each) const;

    duration m_bound;
    std::map<data_centre_name, record> m_records;
    bool m_known = false;
};

} // namespace plantainpoint
