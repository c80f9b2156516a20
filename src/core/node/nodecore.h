#pragma once

#include "core/base/clock.h"
#include "core/base/memberinfo.h"
#include "core/base/random.h"
#include "core/config/configuration.h"
#include "core/node/action.h"
#include "core/node/event.h"

#include <memory>
#include <optional>
#include <vector>

namespace wisteriafork {

struct NodeOptions
{
    // This instance: name, incarnation, service, failure domain and peer address.
    MemberInfo self;
    std::uint64_t seed = 1;
    // Configuration that is in force from the start, for fixed set-ups and tests.
    std::optional<Configuration> initialConfiguration;
};

// All decisions of one node. It takes events from a shell that does the I/O and returns what the shell is to do. Not thread safe; the shell
// calls it under one lock. Has no sockets, threads, wall clock, files or global state.
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

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
