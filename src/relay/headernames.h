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
    // Load that a backend server reports in its responses: the requests that it runs, those that wait, its number of slots, and possibly
    // the time that work takes at this moment, in percent of the usual time; separated by commas.
    std::string instanceLoad;
    // Workspace (customer of the platform) for which the caller acts; empty if the deployment has none. Set by the node if the
    // configuration has workspaces with keys.
    std::string workspace;
    // Access key of the caller's workspace; empty if the deployment has none. Backend servers never get it.
    std::string credential;
};

} // namespace wisteriafork
