#pragma once

#include "core/base/ids.h"
#include "core/node/action.h"

#include <vector>

namespace wisteriafork {

// Carries out the actions of the core.
class ActionExecutor
{
public:
    virtual ~ActionExecutor() = default;

    // Carries out the actions of one event in their order. `call` is the call that the event concerned, or 0. Never called by two threads
    // at the same time, and always in the order in which the core gave the actions.
    virtual void execute(const std::vector<Action> &actions, CallId call) = 0;
};

} // namespace wisteriafork
