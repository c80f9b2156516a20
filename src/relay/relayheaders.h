#pragma once

#include "net/httpmessage.h"
#include "relay/attemptoutcome.h"
#include "relay/relayrequest.h"

#include <optional>

namespace wisteriafork {

// Header fields that describe a request between nodes: numbers in `wf-call`, names in fields of their own.
HttpHeaders encodeRelayRequest(const RelayRequest &request, TimePoint now);

// Takes the description out of a received request, which then is as the caller sent it. Nothing if it is malformed.
std::optional<RelayRequest> decodeRelayRequest(const std::shared_ptr<HttpRequest> &received, TimePoint now);

// The answer with which a node passes on the outcome of an attempt.
HttpResponse encodeOutcome(AttemptOutcome outcome);

// Nothing if the answer is none of a node.
std::optional<AttemptOutcome> decodeOutcome(HttpResponse response);

} // namespace wisteriafork
