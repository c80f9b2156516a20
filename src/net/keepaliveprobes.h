#pragma once

#include "net/asio.h"

#include <chrono>

namespace wisteriafork {

// Lets the system probe a connection that is silent for the given time, at the same interval, and break it after two unanswered probes or
// when sent bytes stay unacknowledged for as long.
void probeSilentConnection(Socket &socket, std::chrono::seconds silence);

} // namespace wisteriafork
