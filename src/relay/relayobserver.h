#pragma once

#include "core/base/clock.h"
#include "core/base/refusal.h"
#include "core/relay/route.h"

#include <string>
#include <string_view>

namespace wisteriafork {

// Interface that is notified about the outcome of the requests of callers, for reports. Called on the thread of the relay; must not block.
class RelayObserver
{
public:
    virtual ~RelayObserver() = default;

    // A request of a caller arrived and matches a route. Exactly one of the three functions below is called for it later.
    virtual void onRequestArrived(const Route &route) = 0;
    // The successful response of a backend server was passed on, `time` after the arrival of the request.
    virtual void onRequestAnswered(const Route &route, std::string_view workspace, Duration time) = 0;
    // The request was refused without having been executed.
    virtual void onRequestRefused(const Route &route, std::string_view workspace, RefusalReason reason) = 0;
    // The caller got an error or has disconnected.
    virtual void onRequestFailed(const Route &route, std::string_view workspace) = 0;
    // The local backend server executed a request of the route successfully within `time`, for a caller or another backend server.
    virtual void onLocalExecutionSucceeded(std::string_view routeName, Duration time) = 0;
};

} // namespace wisteriafork
