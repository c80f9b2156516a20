#pragma once

#include "net/httpmessage.h"
#include "relay/attemptoutcome.h"
#include "relay/headernames.h"
#include "relay/relayrequest.h"

#include <optional>

namespace wisteriafork {

// Field with the values of a request that differ from those of all others, in one text: a field name costs as much as a short value.
constexpr const char *CallField = "wf-call";
// The same for answers.
constexpr const char *ReportField = "wf-report";

// Header fields that describe a request between nodes. Names that repeat have fields of their own, which are compressed to a byte.
HttpHeaders encodeRelayRequest(const RelayRequest &request, const HeaderNames &names, TimePoint now);

// Takes the description out of a received request, which then is as the caller sent it. Nothing if it is malformed.
std::optional<RelayRequest> decodeRelayRequest(const std::shared_ptr<HttpRequest> &received, const HeaderNames &names, TimePoint now);

// The answer with which a node passes on the outcome of an attempt.
HttpResponse encodeOutcome(AttemptOutcome outcome, const HeaderNames &names);

// Nothing if the answer is none of a node.
std::optional<AttemptOutcome> decodeOutcome(HttpResponse response, const HeaderNames &names);

} // namespace wisteriafork
