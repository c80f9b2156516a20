#pragma once

#include "core/relay/instance.h"
#include "relay/attemptoutcome.h"
#include "relay/relayrequest.h"

#include <memory>

namespace wisteriafork {

// One request on its way to an instance.
class PendingAttempt
{
public:
    virtual ~PendingAttempt() = default;

    // Gives the attempt up; its handler is not called any more. A non-idempotent request that runs goes on running.
    virtual void cancel() = 0;
};

// Sends requests to instances, wherever they are.
class AttemptSender
{
public:
    virtual ~AttemptSender() = default;

    // The handler is called once, after this returned, unless the attempt is cancelled.
    virtual std::unique_ptr<PendingAttempt> send(const Instance &instance, RelayRequest request, AttemptHandler handler) = 0;
};

} // namespace wisteriafork
