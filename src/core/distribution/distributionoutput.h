#pragma once

#include "core/base/finding.h"
#include "core/base/hostlist.h"
#include "core/distribution/indexdelta.h"
#include "core/distribution/indexpull.h"
#include "core/distribution/inforcepull.h"
#include "core/distribution/valuepull.h"
#include "core/distribution/versiondigest.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wisteriafork {

using DistributionMessage = std::variant<VersionDigest, IndexPull, IndexDelta, ValuePull, ValueReply, InForcePull, InForceReply>;

struct SendDistributionMessage
{
    // Empty while only the address of a seed is known.
    NodeId to;
    std::string address;
    DistributionMessage message;
};

// Keep a waiting watch on a key, which begins with a read.
struct StartValueWatch
{
    std::string key;
};

struct StopValueWatch
{
    std::string key;
};

// Read a key once.
struct ReadValue
{
    std::string key;
};

// A configuration version came in force, whole: all its needed slices are present, checked and valid.
struct ConfigurationChanged
{
    VersionStamp stamp;
    // False if the version differs from the one before only in slices that this node does not need.
    bool slicesChanged = true;
    // Texts by service, `_common` among them, in the order of the names.
    std::vector<std::pair<ServiceId, std::shared_ptr<const std::string>>> slices;
};

// A host list came in force. Pass it to `Membership::applyHostList`.
struct HostListChanged
{
    HostList list;
};

// A service is not needed any more; its host list is not kept up to date.
struct HostListDropped
{
    ServiceId service;
};

// All needed lists of this `hosts` index are applied. Pass it to `Membership::setHostsVersion`.
struct HostsVersionReached
{
    std::uint64_t version = 0;
};

// A published value is not taken; what is in force stays. Reported once for each value.
struct ValueHeldBack
{
    std::string key;
    VersionStamp stamp;
    std::vector<Finding> findings;
};

// Two contents were seen for the same version; the one with the greater hash counts.
struct VersionConflict
{
    ValueFamily family = ValueFamily::Configuration;
    VersionStamp kept;
    VersionStamp dropped;
};

// The node has what it needs and has asked its peers; it may serve.
struct BecameReady
{
};

using DistributionOutput = std::variant<SendDistributionMessage, StartValueWatch, StopValueWatch, ReadValue, ConfigurationChanged,
                                        HostListChanged, HostListDropped, HostsVersionReached, ValueHeldBack, VersionConflict, BecameReady>;

} // namespace wisteriafork
