#pragma once

#include "core/relay/instance.h"
#include "relay/attemptoutcome.h"
#include "relay/relayrequest.h"

#include <memory>

namespace wisteriafork {

// Handle of a request that was sent to an instance and has no outcome yet.
class PendingAttempt
{
public:
    virtual ~PendingAttempt() = default;

    // Cancels the attempt; its handler is not called afterwards. A non-idempotent request that already runs is not interrupted.
    virtual void cancel() = 0;
};

// Sends requests to instances, on this host or on others.
class AttemptSender
{
public:
    virtual ~AttemptSender() = default;

    // Sends `request` to `instance`. The handler is called exactly once, never before this function returns, unless the attempt is
    // cancelled. The returned handle may be destroyed once the handler was called.
    virtual std::unique_ptr<PendingAttempt> send(const Instance &instance, RelayRequest request, AttemptHandler handler) = 0;
};

} // namespace wisteriafork
