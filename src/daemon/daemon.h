#pragma once

#include "daemon/settings.h"
#include "observability/eventlog.h"

#include <memory>

namespace wisteriafork {

// Runs a node: the relay, the files with its configuration and instances, the administration API, and the signals that reload the files or
// start a planned stop.
class Daemon
{
public:
    // Throws boost::system::system_error if a TLS key cannot be loaded. `settings` and `log` must outlive the object.
    Daemon(const Settings &settings, EventLog &log);
    ~Daemon();

    // Runs until a planned stop ends. Returns the exit status of the process: 0 after a stop that completed or reached its grace period, 1
    // if the administration API could not be started, 3 if a second signal aborted the stop. Throws boost::system::system_error if an
    // address cannot be bound.
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wisteriafork
