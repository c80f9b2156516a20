#pragma once

#include "net/httpmessage.h"

#include <cstdint>
#include <memory>
#include <string>

namespace wisteriafork {

// One received request that waits for its answer, over HTTP/1.1 or as a stream of an HTTP/2 session.
class ServerExchange
{
public:
    virtual ~ServerExchange() = default;

    // Sends the answer. May be called once, from any thread; further calls do nothing.
    virtual void respond(HttpResponse response) = 0;

    // The handler may change it before it shares it.
    std::shared_ptr<HttpRequest> request;
    // IP address of the sender, without port.
    std::string remoteAddress;
    // Free for the handler, which sets it within `handleRequest`.
    std::uint64_t tag = 0;
};

// Receives the requests of a listener.
class ServerHandler
{
public:
    virtual ~ServerHandler() = default;

    // A whole request has arrived. Called on the strand of the connection.
    virtual void handleRequest(std::shared_ptr<ServerExchange> exchange) = 0;
    // The sender hung up or cancelled before the answer was given.
    virtual void handleCancellation(ServerExchange &exchange) = 0;
};

} // namespace wisteriafork
