#pragma once

#include "core/node/decision.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace wisteriafork {

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

// Numbered events of the daemon. Numbers are never reused.
enum class LogEvent : std::uint16_t {
    CallAdmitted = 101,
    CallQueued = 102,
    CallRefused = 103,
    CallRunLocally = 104,
    CallForwarded = 105,
    CallRetried = 106,
    StoredAnswerReplayed = 107,
    CallJoinedAttempt = 108,
    CallCancelled = 109,
    NodeStarted = 201,
    DrainStarted = 202,
    DrainFinished = 203,
    DrainBoundReached = 204,
    NodeStopped = 205,
    ServerLoadUnreadable = 301,
    PlatformUnreadable = 302,
};

struct LogEventInfo
{
    LogEvent event;
    std::string_view name;
    LogLevel level;
    // What the event means, for the catalogue.
    std::string_view meaning;
};

// All events in the order of their numbers.
std::span<const LogEventInfo> logEventCatalogue();
const LogEventInfo &logEventInfo(LogEvent event);
LogEvent logEventFor(DecisionKind kind);
std::string_view logLevelName(LogLevel level);

} // namespace wisteriafork
