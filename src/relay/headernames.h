#pragma once

#include <string>

namespace wisteriafork {

// Names of the header fields that callers and backend servers use, in lower case. The deployment decides them.
struct HeaderNames
{
    // Identity of one attempt of a caller; backend servers repeat it in their answers.
    std::string requestId;
    // Milliseconds for which the sender waits.
    std::string deadline;
    // Mark that a backend server puts on each answer that it made itself; empty if it sets none.
    std::string responseOrigin;
    // Instance that is to run the request; any other one answers 421.
    std::string expectedInstance;
    // Name of the service from whose host the request comes.
    std::string callerService;
    // Set by a backend server that did not run the request.
    std::string notExecuted;
    // Load of a backend server.
    std::string instanceLoad;
    // Customer of the platform for whom the caller acts; empty if the deployment has no such field.
    std::string workspace;
};

} // namespace wisteriafork
