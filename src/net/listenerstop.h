#pragma once

namespace wisteriafork {

// Makes a listening socket ignore new connection attempts, while handshakes in progress still complete. When a listening socket is closed,
// the kernel resets the connections in its accept queue. A graceful stop therefore calls this function, continues to accept for longer than
// a handshake takes, and then closes the socket. Clients whose attempt was ignored are refused when their system retransmits it.
void ignoreNewConnections(int listeningSocket);

} // namespace wisteriafork
