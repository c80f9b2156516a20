#pragma once

#include "net/clientexchange.h"

#include <memory>

namespace wisteriafork {

// Sends requests to one server.
class RequestSender
{
public:
    virtual ~RequestSender() = default;

    // Sends the request with the given additional header fields. The handler is called once, after this returned and on any worker, unless
    // the exchange is cancelled.
    virtual std::shared_ptr<ClientExchange> send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra, ResponseHandler handler)
        = 0;
};

} // namespace wisteriafork
