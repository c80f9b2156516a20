#pragma once

#include "net/asio.h"
#include "net/peeroptions.h"
#include "net/serverexchange.h"

#include <cstddef>
#include <memory>

namespace wisteriafork {

// Listener for the HTTP/2 sessions of other nodes. Each stream is handed to the handler as one exchange. The handler must outlive the
// server and its sessions.
class PeerServer
{
public:
    PeerServer(asio::io_context &context, ServerHandler &handler, const PeerOptions &options);
    ~PeerServer();

    // Binds to the address. Throws boost::system::system_error if that fails.
    void listen(const Tcp::endpoint &address);
    Tcp::endpoint address() const;
    // Stops listening and tells the peers to open no further streams; sessions close when their last stream ends.
    void stop();
    // Sessions that are open.
    std::size_t sessionCount() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace wisteriafork
