#pragma once

#include "core/base/calldescription.h"
#include "core/base/ids.h"
#include "core/base/loadreport.h"
#include "core/base/refusal.h"
#include "core/node/forwardmode.h"
#include "net/httpmessage.h"

#include <optional>
#include <string>

namespace wisteriafork {

// A call as it travels between nodes, in the header fields of a `POST /call` stream.
struct ForwardedCall
{
    NodeId from;
    ForwardMode mode = ForwardMode::Serve;
    // `id` and `origin` do not travel; `deadline` travels as remaining time.
    CallDescription call;
    std::string traceId;
    std::string method;
    std::string target;
};

// Header fields that describe the call. `remaining` replaces the deadline of the call.
HttpHeaders encodeForwardedCall(const ForwardedCall &forwarded, Duration remaining);
// Reads the description back; empty if a field is missing or malformed.
std::optional<ForwardedCall> decodeForwardedCall(const HttpHeaders &headers, TimePoint now);

std::string encodeLoadReport(const LoadReport &load);
std::optional<LoadReport> decodeLoadReport(std::string_view text);

std::string encodeRefusal(const Refusal &refusal);
std::optional<Refusal> decodeRefusal(std::string_view text);

} // namespace wisteriafork
