#include "net/traceparent.h"

#include <algorithm>

namespace wisteriafork {

namespace {

constexpr std::size_t TraceIdStart = 3;
constexpr std::size_t TraceIdSize = 32;
// "00-" trace id "-" span id "-" flags
constexpr std::size_t TraceparentSize = 55;

bool isLowerHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

void appendHex(std::string &text, std::uint64_t number)
{
    static constexpr char Digits[] = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4) {
        text.push_back(Digits[number >> shift & 0xfU]);
    }
}

} // namespace

std::string_view traceIdOf(std::string_view traceparent)
{
    if (traceparent.size() < TraceparentSize || traceparent[2] != '-' || traceparent[TraceIdStart + TraceIdSize] != '-') {
        return {};
    }
    const std::string_view id = traceparent.substr(TraceIdStart, TraceIdSize);
    const bool allZero = id.find_first_not_of('0') == std::string_view::npos;
    return !allZero && std::ranges::all_of(id, isLowerHex) ? id : std::string_view();
}

std::string makeTraceparent(std::string_view traceId, std::uint64_t spanId)
{
    std::string text("00-");
    text += traceId;
    text += '-';
    appendHex(text, spanId);
    text += "-01";
    return text;
}

std::string makeTraceId(std::uint64_t high, std::uint64_t low)
{
    std::string text;
    text.reserve(TraceIdSize);
    appendHex(text, high);
    appendHex(text, low | 1U);
    return text;
}

} // namespace wisteriafork
