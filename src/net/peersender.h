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

    // Sends a request as one stream to the peer at `address` ("127.0.0.1:7101"). The handler is called once, after this returned and on any
    // worker, unless the exchange is cancelled.
    virtual std::shared_ptr<ClientExchange> send(const std::string &address, std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                                 ResponseHandler handler)
        = 0;
};

} // namespace wisteriafork
