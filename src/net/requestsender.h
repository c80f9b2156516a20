#pragma once

#include "net/clientexchange.h"

#include <functional>
#include <memory>

namespace wisteriafork {

// Sends requests to one server.
class RequestSender
{
public:
    virtual ~RequestSender() = default;

    // Sends the request. Fields in `extra` replace header fields of the request with the same name. The handler is called once, on any
    // thread, never before this function returns, unless the exchange is cancelled.
    virtual std::shared_ptr<ClientExchange> send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra, ResponseHandler handler)
        = 0;
    // Opens a connection without a request, closes it again and reports whether it was accepted. The handler is called once, never before
    // this function returns.
    virtual void probe(std::function<void(bool accepted)> handler) = 0;
};

} // namespace wisteriafork
