#pragma once

#include "net/httpmessage.h"
#include "relay/attemptoutcome.h"
#include "relay/headernames.h"
#include "relay/relayrequest.h"

#include <optional>

namespace wisteriafork {

// Field with those values that differ from request to request, joined to one text because a separate field name would cost as many bytes
// as a short value.
constexpr const char *CallField = "wf-call";
// The corresponding field of responses.
constexpr const char *ReportField = "wf-report";
// Slowdown of the host of the instance in percent, in responses of nodes whose backend server tells it. A field of its own, because nodes
// of earlier versions reject a report with more figures.
constexpr const char *LoadField = "wf-load";
// Revisions of the published state that the sender of a request or a response knows.
constexpr const char *RevisionsField = "wf-published";

// Header fields that describe a request between nodes. Values that recur, such as routes and instances, have fields of their own, which the
// header compression reduces to one byte.
HttpHeaders encodeRelayRequest(const RelayRequest &request, const HeaderNames &names, TimePoint now);

// Removes the fields that describe a received request and restores it as the caller sent it. Empty if the description is malformed.
std::optional<RelayRequest> decodeRelayRequest(const std::shared_ptr<HttpRequest> &received, const HeaderNames &names, TimePoint now);

// The response with which a node reports the outcome of an attempt to the node that sent the request.
HttpResponse encodeOutcome(AttemptOutcome outcome, const HeaderNames &names);

// Inverse of `encodeOutcome`. Empty if the response has no valid report, so that it does not come from a node.
std::optional<AttemptOutcome> decodeOutcome(HttpResponse response, const HeaderNames &names);

} // namespace wisteriafork
