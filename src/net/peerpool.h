#pragma once

#include "net/asio.h"
#include "net/clientexchange.h"
#include "net/peeroptions.h"

#include <memory>
#include <string>

namespace wisteriafork {

// Outgoing HTTP/2 sessions, one per peer address, opened on demand and closed when idle.
class PeerPool
{
public:
    PeerPool(asio::io_context &context, const PeerOptions &options);
    ~PeerPool();

    // Sends a request as one stream to the peer at `address` ("127.0.0.1:7101"). The handler is called once, on any worker, unless the
    // exchange is cancelled.
    std::shared_ptr<ClientExchange> send(const std::string &address, std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                         AnswerHandler handler);
    // Closes all sessions.
    void stop();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace wisteriafork
