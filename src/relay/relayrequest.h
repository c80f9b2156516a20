#pragma once

#include "core/base/clock.h"
#include "core/base/hashing.h"
#include "core/relay/route.h"
#include "net/httpmessage.h"

#include <memory>
#include <string>

namespace wisteriafork {

// A request on its way to one instance.
struct RelayRequest
{
    std::shared_ptr<const HttpRequest> http;
    // Instance that is to run it.
    std::string instance;
    std::string route;
    RequestKind kind = RequestKind::NonIdempotent;
    // Made by a backend server for a request that was admitted before.
    bool isInner = false;
    // An earlier send of it, or of the request for which it is made, reached an instance.
    bool isRetry = false;
    // Rank of the caller's request at the top of the chain.
    unsigned priority = 0;
    Duration targetLatency{0};
    // Local time at which the answer is no longer of use.
    TimePoint deadline;
    // Version of the configuration in force at the sender, and the sender's address.
    std::uint64_t configurationVersion = 0;
    std::string senderAddress;
    // Service of the host on which the request began.
    std::string callerService;

    // Equal for all sends of a request, whoever sends them.
    RequestKey fingerprint() const
    {
        return hashParts({http->method, http->headers.find("host"), http->target, http->body});
    }
};

} // namespace wisteriafork
