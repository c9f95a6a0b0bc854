// The runs of endpoints that have said that they leave.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/relay.hpp"

namespace plantainpoint {

// An endpoint cannot take back that it leaves: only its next run gets requests again, whatever the directory lists. A run is remembered after the directory
// has dropped its entry, as an older copy of the directory may bring the entry back.
class leaving_runs
{
public:
    // Records what an endpoint, or another VM, has said. Returns whether it is new.
    bool add(const leaving_endpoint &endpoint, time_point now);
    bool contains(const endpoint_name &name, std::int64_t startedAt) const;
    // Returns whether the run was added so lately that messages to other VMs repeat it.
    bool isRecent(const endpoint_name &name, time_point now) const;
    // Returns the newest leaving run of each endpoint.
    std::vector<leaving_endpoint> all() const;
    void tick(time_point now);
    std::size_t size() const { return m_runs.size(); }

private:
    struct run {
        std::int64_t startedAt = 0;
        time_point addedAt{};
        time_point toldAt{}; // Time at which it was last said.
    };
    std::map<endpoint_name, run> m_runs;
};

} // namespace plantainpoint
