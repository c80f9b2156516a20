#pragma once

#include "core/node/attemptresult.h"
#include "core/node/callstate.h"

namespace wisteriafork {

// Told when an attempt of a call has ended. The receiver decides on a retry, or answers the call and removes it from the table.
class AttemptObserver
{
public:
    virtual ~AttemptObserver() = default;

    virtual void localAttemptEnded(CallState &state, const AttemptResult &result) = 0;
    virtual void forwardEnded(CallState &state, const AttemptResult &result) = 0;
};

} // namespace wisteriafork
