#pragma once

namespace wisteriafork {

// Makes a listening socket ignore further connection attempts, while handshakes that have begun still complete. The kernel resets the
// connections in the queue of a socket that is closed, so a graceful stop calls this, goes on accepting for longer than a handshake takes,
// and then closes the socket. Callers that try to connect in the meantime are refused when they try again.
void ignoreNewConnections(int listeningSocket);

} // namespace wisteriafork
