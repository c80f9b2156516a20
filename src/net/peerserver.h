#pragma once

#include "net/asio.h"
#include "net/peeroptions.h"
#include "net/serverexchange.h"

#include <cstddef>
#include <memory>

namespace wisteriafork {

// Server for the HTTP/2 sessions of other nodes. Each stream is passed to the handler as one exchange when its request is complete. The
// handler must outlive the server and its sessions.
class PeerServer
{
public:
    PeerServer(asio::io_context &context, ServerHandler &handler, const PeerOptions &options);
    ~PeerServer();

    // Binds to the address and starts to accept sessions. Throws boost::system::system_error if that fails.
    void listen(const Tcp::endpoint &address);
    // Address that the server is bound to, with the port that the system chose for port 0.
    Tcp::endpoint address() const;
    // Stops listening and asks the peers to open no further streams; sessions close when their last stream ends.
    void stop();
    // Number of open sessions.
    std::size_t sessionCount() const;
    // Number of streams whose request has arrived and whose response is not sent.
    std::size_t openStreamCount() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace wisteriafork
