#pragma once

#include "core/base/calldescription.h"
#include "core/node/forwardmode.h"
#include "net/clientexchange.h"
#include "net/serverexchange.h"

#include <cstdint>
#include <memory>
#include <string>

namespace wisteriafork {

// What runs for a call at present.
enum class AttemptKind : std::uint8_t {
    None,
    // On the local backend server.
    Local,
    // Forwarded to a peer.
    Forwarded,
};

// A call of this node with its request and answer. The members above the line do not change after the record is in the table; the others
// are guarded by the table.
struct CallRecord
{
    CallDescription call;
    std::string traceId;
    // Local time of arrival.
    TimePoint arrived;
    std::shared_ptr<const HttpRequest> request;
    std::shared_ptr<ServerExchange> exchange;

    // ---
    AttemptKind attempt = AttemptKind::None;
    // Counts attempts, so that the late result of an earlier one is ignored.
    unsigned attemptNumber = 0;
    std::shared_ptr<ClientExchange> clientExchange;
    NodeId peer;
    TimePoint attemptExpiry = TimePoint::max();
    // Whole answer of the last attempt.
    std::shared_ptr<const HttpResponse> answer;
    bool responded = false;
    bool callerGone = false;
};

} // namespace wisteriafork
