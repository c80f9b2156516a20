#pragma once

#include "net/clientexchange.h"

#include <memory>
#include <string>

namespace wisteriafork {

// Sends requests to other nodes.
class PeerSender
{
public:
    virtual ~PeerSender() = default;

    // Sends a request as one stream to the peer at `address`, an IP address with a port such as "127.0.0.1:7101". Fields in `extra` replace
    // header fields of the request; it must contain `:path`. The handler is called once, on any thread, never before this function returns,
    // unless the exchange is cancelled.
    virtual std::shared_ptr<ClientExchange> send(const std::string &address, std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                                 ResponseHandler handler)
        = 0;
};

} // namespace wisteriafork
