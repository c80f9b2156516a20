#pragma once

#include "core/base/clock.h"
#include "core/base/refusal.h"
#include "core/relay/route.h"

#include <string>
#include <string_view>

namespace wisteriafork {

// Is told what becomes of the requests of callers, for reports. Called on the thread of the relay; must return quickly.
class RelayObserver
{
public:
    virtual ~RelayObserver() = default;

    // A request of a caller arrived and has a route. Each one ends with exactly one of the three functions that follow.
    virtual void onRequestArrived(const Route &route) = 0;
    // A whole answer of the backend server was passed on.
    virtual void onRequestAnswered(const Route &route, std::string_view workspace, Duration time) = 0;
    virtual void onRequestRefused(const Route &route, std::string_view workspace, RefusalReason reason) = 0;
    // The caller got an error or has left.
    virtual void onRequestFailed(const Route &route, std::string_view workspace) = 0;
    // The local backend server ran a request of the route with success.
    virtual void onLocalRunSucceeded(std::string_view routeName, Duration time) = 0;
};

} // namespace wisteriafork
