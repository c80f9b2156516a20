#pragma once

#include "net/clientexchange.h"

#include <memory>

namespace wisteriafork {

// Sends requests to one server.
class RequestSender
{
public:
    virtual ~RequestSender() = default;

    // Sends the request. Fields in `extra` replace header fields of the request with the same name. The handler is called once, on any
    // thread and possibly before this function returns, unless the exchange is cancelled.
    virtual std::shared_ptr<ClientExchange> send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra, ResponseHandler handler)
        = 0;
};

} // namespace wisteriafork
