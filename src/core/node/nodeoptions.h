#pragma once

#include "core/base/memberinfo.h"
#include "core/config/configuration.h"
#include "core/crashguard/crashguardoptions.h"
#include "core/distribution/distributionoptions.h"
#include "core/membership/membershipoptions.h"
#include "core/node/nodemechanisms.h"
#include "core/overload/admissionoptions.h"
#include "core/overload/edgegateoptions.h"
#include "core/ownership/ownershipoptions.h"
#include "core/routing/retryoptions.h"
#include "core/routing/routeroptions.h"

#include <cstdint>
#include <optional>

namespace wisteriafork {

// Options of a node's core. Only `self` must be set; the options of the components carry their defaults, and their own `self` is filled in.
struct NodeOptions
{
    // This instance: name, incarnation, service, failure domain and peer address.
    MemberInfo self;
    std::uint64_t seed = 1;
    // Configuration that is in force from the start, for fixed set-ups and tests. The node does not wait for the configuration service.
    std::optional<Configuration> initialConfiguration;
    AdmissionOptions admission;
    EdgeGateOptions edge;
    RouterOptions router;
    RetryOptions retries;
    OwnershipOptions ownership;
    CrashGuardOptions crashGuard;
    MembershipOptions membership;
    DistributionOptions distribution;
    NodeMechanisms mechanisms;
};

} // namespace wisteriafork
