#pragma once

#include "core/base/clock.h"
#include "core/base/hashing.h"
#include "core/relay/route.h"
#include "net/httpmessage.h"

#include <memory>
#include <string>

namespace wisteriafork {

// A request as it is sent to one instance.
struct RelayRequest
{
    std::shared_ptr<const HttpRequest> http;
    // Id of the instance that should execute the request.
    std::string instance;
    // Name of the route.
    std::string route;
    RequestKind kind = RequestKind::NonIdempotent;
    // Sent by a backend server on behalf of a request that was admitted before.
    bool isInner = false;
    // An earlier attempt at this request, or at the request on whose behalf it is sent, reached or may still reach an instance.
    bool isRetry = false;
    // Workspace of the caller's request for which the chain of calls is made; empty if there is none.
    std::string workspace;
    // Priority of the caller's request for which the chain of calls is made; 0 is the most urgent.
    unsigned priority = 0;
    Duration targetLatency{0};
    // Time of the local clock after which the response is useless.
    TimePoint deadline;
    // Version of the configuration in force at the sending node, and the address of that node.
    std::uint64_t configurationVersion = 0;
    std::string senderAddress;
    // Service of the host from which this request was sent first.
    std::string callerService;

    // Hash of the content; equal for all attempts at a request, from any sender.
    RequestKey fingerprint() const
    {
        return hashParts({http->method, http->headers.find("host"), http->target, http->body});
    }
};

} // namespace wisteriafork
