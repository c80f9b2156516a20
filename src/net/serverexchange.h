#pragma once

#include "net/httpmessage.h"

#include <cstdint>
#include <memory>
#include <string>

namespace wisteriafork {

// One received request and the means to respond to it, over HTTP/1.1 or as a stream of an HTTP/2 session.
class ServerExchange
{
public:
    virtual ~ServerExchange() = default;

    // Sends the response. Further calls do nothing. May be called from any thread.
    virtual void respond(HttpResponse response) = 0;

    // The handler may change the request until it shares it with other threads.
    std::shared_ptr<HttpRequest> request;
    // IP address of the sender without port.
    std::string remoteAddress;
    // For the use of the handler, which may set it within `handleRequest` to recognize the exchange later.
    std::uint64_t tag = 0;
};

// Receives the requests of a server.
class ServerHandler
{
public:
    virtual ~ServerHandler() = default;

    // Called on the strand of the connection for each complete request.
    virtual void handleRequest(std::shared_ptr<ServerExchange> exchange) = 0;
    // Called on the strand of the connection when the sender closed the connection or reset the stream before the response.
    virtual void handleCancellation(ServerExchange &exchange) = 0;
};

} // namespace wisteriafork
