#pragma once

#include "core/base/manualclock.h"
#include "core/distribution/distribution.h"
#include "core/membership/membership.h"
#include "distribution/simtraffic.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriafork {

// A node of the fleet in virtual time, with what its outputs said.
struct SimNode
{
    MemberInfo info;
    std::size_t service = 0;
    ManualClock clock;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<Distribution> distribution;
    bool alive = false;
    // A dead host does not even refuse connections.
    bool hostDown = false;
    bool paused = false;
    TimePoint pausedAt{};
    std::uint32_t life = 0;
    SimTraffic traffic;
    std::map<std::string, std::uint64_t> watches;
    ConfigurationChanged inForce;
    std::vector<ValueHeldBack> heldBack;
    std::vector<VersionConflict> conflicts;
    TimePoint readyAt{};
    // Version that was in force when the node became ready, and the time of the last change.
    std::uint64_t readyVersion = 0;
    TimePoint changedAt{};
};

} // namespace wisteriafork
