#pragma once

#include "net/asio.h"

#include <chrono>

namespace wisteriafork {

// Enables TCP keep-alive: a connection without traffic is probed after the interval and then at the same interval. It fails after two
// unanswered probes, or when sent bytes stay unacknowledged for three intervals.
void enableKeepAliveProbes(Socket &socket, std::chrono::seconds interval);

} // namespace wisteriafork
