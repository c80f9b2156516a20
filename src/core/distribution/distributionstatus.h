#pragma once

#include "core/base/clock.h"
#include "core/base/finding.h"
#include "core/distribution/versionstamp.h"

#include <string>
#include <vector>

namespace wisteriafork {

// A value that is not taken, with the reasons.
struct HeldBackValue
{
    std::string key;
    VersionStamp stamp;
    std::vector<Finding> findings;
    TimePoint since;
};

// What the status page shows of the distribution.
struct DistributionStatus
{
    VersionStamp inForce;
    // Local time at which the version came in force, and who sent its index: the name of a node or "configuration service".
    TimePoint inForceSince;
    std::string inForceFrom;
    // Newest index known; differs from the one in force while slices are fetched or held back.
    VersionStamp known;
    VersionStamp hosts;
    std::vector<HeldBackValue> heldBack;
    bool ready = false;
    bool reading = false;
};

} // namespace wisteriafork
