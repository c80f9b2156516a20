#pragma once

#include "core/base/clock.h"
#include "core/base/hostlist.h"
#include "core/base/random.h"
#include "core/crashguard/crashguard.h"
#include "core/membership/membership.h"
#include "core/node/actionlist.h"
#include "core/node/calltable.h"
#include "core/node/nodeconfiguration.h"
#include "core/node/nodeoptions.h"
#include "core/overload/admissioncontroller.h"
#include "core/overload/edgegate.h"
#include "core/routing/callattribution.h"
#include "core/routing/retrypolicy.h"
#include "core/routing/router.h"

#include <map>
#include <unordered_map>

namespace wisteriafork {

// The components and tables of one node, shared by the classes that handle its events.
struct NodeParts
{
    NodeParts(NodeOptions nodeOptions, const Clock &nodeClock);

    const NodeOptions options;
    const Clock &clock;
    RandomEngine random;
    ActionList actions;
    CallTable calls;
    NodeConfiguration configuration;
    Membership membership;
    AdmissionController admission;
    EdgeGate edge;
    Router router;
    RetryPolicy retries;
    CallAttribution attribution;
    CrashGuard crashGuard;
    // Host lists in force, by service, and the entries of all of them by name.
    std::map<ServiceId, HostList> hostLists;
    std::unordered_map<NodeId, MemberInfo> members;
    bool draining = false;

    const NodeId &self() const
    {
        return options.self.name;
    }

    // Load of this instance for an answer to a call of the given operation.
    LoadReport loadReport(const OperationId &operation);
    // Host list entry of an instance; null if it is not listed.
    const MemberInfo *listedMember(const NodeId &name) const;
    void recordDecision(const CallState &state, DecisionKind kind, const NodeId &node, std::string reason);
};

} // namespace wisteriafork
