#pragma once

#include "daemon/settings.h"
#include "observability/eventlog.h"

#include <memory>

namespace wisteriafork {

// The running node: listeners, worker pool, timers, signals and planned stop.
class Daemon
{
public:
    Daemon(const Settings &settings, EventLog &log);
    ~Daemon();

    // Runs until a planned stop is complete. Returns the exit status: 0, or 3 if calls in flight were broken off. Throws
    // boost::system::system_error if an address cannot be bound.
    int run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
