#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriafork {

// Trace id of a W3C `traceparent` value, 32 hex digits; empty view if the value is malformed.
std::string_view traceIdOf(std::string_view traceparent);
// A `traceparent` value for a new span of the trace.
std::string makeTraceparent(std::string_view traceId, std::uint64_t spanId);
// 32 hex digits.
std::string makeTraceId(std::uint64_t high, std::uint64_t low);

} // namespace wisteriafork
