#pragma once

#include "observability/eventcatalogue.h"

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriafork {

enum class LogFormat : std::uint8_t {
    Json,
    KeyValue,
};

struct LogOptions
{
    LogFormat format = LogFormat::Json;
    // Events below this severity are dropped before they are formatted.
    LogSeverity minimumSeverity = LogSeverity::Info;
    // True writes lines on a thread of their own. When 8192 lines wait, further lines are dropped rather than delaying calls.
    bool background = false;
};

// Writes numbered events as lines to a stream through Boost.Log. Values are passed in the order of the fields in the catalogue, so that
// names exist in one place only. The destructor writes what still waits. Thread safe; callers hold no lock of the lock order while they
// write.
class EventLog
{
public:
    // The stream must outlive the log.
    EventLog(LogOptions options, std::ostream &stream);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void write(EventNumber number, const std::vector<std::string> &values);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

// The line of an event without line break. A number of values that differs from the number of fields is marked by the field
// "fieldCountMismatch" instead of losing the line.
std::string formatEvent(const EventDescription &event, std::span<const std::string> values, LogFormat format,
                        std::chrono::system_clock::time_point time);

} // namespace wisteriafork
