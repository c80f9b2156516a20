#pragma once

#include "core/base/clock.h"
#include "core/distribution/distributionstatus.h"
#include "core/membership/memberstate.h"
#include "core/node/action.h"
#include "core/node/event.h"
#include "core/node/nodeoptions.h"

#include <memory>
#include <utility>
#include <vector>

namespace wisteriafork {

class Membership;
class Ownership;

// All decisions of one node. It takes events from a shell that does the I/O and returns what the shell is to do, in order. Not thread safe;
// the shell calls it under one lock. Has no sockets, threads, wall clock, files or global state.
class NodeCore
{
public:
    NodeCore(NodeOptions options, const Clock &clock);
    ~NodeCore();
    NodeCore(const NodeCore &) = delete;
    NodeCore &operator=(const NodeCore &) = delete;

    std::vector<Action> handle(const Event &event);

    // Configuration in force; null before the first one.
    const Configuration *configuration() const;
    // State of configuration and host lists for the status page.
    DistributionStatus distributionStatus() const;
    const Membership &membership() const;
    const MemberInfo &self() const;
    bool isDraining() const;
    // Load of the local backend server as this node limits it.
    LoadReport loadReport();
    // Listed instances of the services that this node knows, with what it believes of them.
    std::vector<std::pair<MemberInfo, MemberState>> members() const;
    // Null before the first configuration.
    const Ownership *ownership() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
