#include "daemon/logevent.h"

#include <algorithm>
#include <array>

namespace wisteriafork {

namespace {

constexpr std::array Catalogue{
    LogEventInfo{LogEvent::CallAdmitted, "call-admitted", LogLevel::Info, "A call passed admission."},
    LogEventInfo{LogEvent::CallQueued, "call-queued", LogLevel::Info, "A call waits for a slot of the local backend server."},
    LogEventInfo{LogEvent::CallRefused, "call-refused", LogLevel::Info, "A call was refused; the reason is in the event."},
    LogEventInfo{LogEvent::CallRunLocally, "call-run-locally", LogLevel::Info, "A call was sent to the local backend server."},
    LogEventInfo{LogEvent::CallForwarded, "call-forwarded", LogLevel::Info, "A call was sent to another node."},
    LogEventInfo{LogEvent::CallRetried, "call-retried", LogLevel::Info, "A further attempt of a call was started."},
    LogEventInfo{LogEvent::StoredAnswerReplayed, "stored-answer-replayed", LogLevel::Info,
                 "A resend got the stored answer of its request."},
    LogEventInfo{LogEvent::CallJoinedAttempt, "call-joined-attempt", LogLevel::Info, "A resend waits for the attempt that is running."},
    LogEventInfo{LogEvent::CallCancelled, "call-cancelled", LogLevel::Info, "A call was cancelled because its caller is gone."},
    LogEventInfo{LogEvent::NodeStarted, "node-started", LogLevel::Info, "The node listens on its addresses."},
    LogEventInfo{LogEvent::DrainStarted, "drain-started", LogLevel::Info, "A planned stop has begun."},
    LogEventInfo{LogEvent::DrainFinished, "drain-finished", LogLevel::Info, "Nothing is in flight any more."},
    LogEventInfo{LogEvent::DrainBoundReached, "drain-bound-reached", LogLevel::Warning,
                 "The planned stop took longer than its bound, or a second signal came; calls in flight are broken off."},
    LogEventInfo{LogEvent::NodeStopped, "node-stopped", LogLevel::Info, "The process ends."},
    LogEventInfo{LogEvent::ServerLoadUnreadable, "server-load-unreadable", LogLevel::Warning,
                 "The load endpoint of the backend server could not be read; logged once until it can be read again."},
    LogEventInfo{LogEvent::PlatformUnreadable, "platform-unreadable", LogLevel::Warning,
                 "The configuration service could not be read; logged once until it can be read again."},
};

} // namespace

std::span<const LogEventInfo> logEventCatalogue()
{
    return Catalogue;
}

const LogEventInfo &logEventInfo(LogEvent event)
{
    return *std::ranges::find(Catalogue, event, &LogEventInfo::event);
}

LogEvent logEventFor(DecisionKind kind)
{
    return static_cast<LogEvent>(static_cast<unsigned>(LogEvent::CallAdmitted) + static_cast<unsigned>(kind));
}

std::string_view logLevelName(LogLevel level)
{
    constexpr std::array<std::string_view, 4> Names{"debug", "info", "warning", "error"};
    return Names[static_cast<std::size_t>(level)];
}

} // namespace wisteriafork
