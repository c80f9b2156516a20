#pragma once

#include <string>

namespace wisteriafork {

// Names of the header fields that callers and backend servers use, in lower case. They depend on the deployment.
struct HeaderNames
{
    // Id of a request; a caller uses a new one for each attempt, and backend servers repeat it in their responses.
    std::string requestId;
    // Time for which the sender waits for the response, in milliseconds.
    std::string deadline;
    // Set by a backend server on each response that it generated itself. The value has to reach the caller unchanged, and a response
    // without it is not passed on. Empty if backend servers set none.
    std::string responseOrigin;
    // Id of the instance for which the request is meant; any other instance responds with status 421.
    std::string expectedInstance;
    // Name of the service from whose host the request is sent.
    std::string callerService;
    // Set by a backend server on a response to a request that it did not execute.
    std::string notExecuted;
    // Load that a backend server reports in its responses; the number after the last comma is its number of slots.
    std::string instanceLoad;
    // Workspace (customer of the platform) for which the caller acts; empty if the deployment has none.
    std::string workspace;
};

} // namespace wisteriafork
