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
    // True writes lines on a separate thread. While 8192 lines are queued, further lines are dropped, so that logging never delays a call.
    bool background = false;
};

// Writes events as lines to a stream through Boost.Log. The destructor writes the lines that are still queued. Thread safe; a caller must
// not hold any lock of the lock order.
class EventLog
{
public:
    // The stream must outlive the log.
    EventLog(LogOptions options, std::ostream &stream);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    // Writes one event unless its severity is below the minimum. The values follow the order of the fields in the catalogue, so that field
    // names exist only there.
    void write(EventNumber number, const std::vector<std::string> &values);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

// Formats an event as one line without a line break. If the number of values differs from the number of fields, the line is kept and gets
// the field "fieldCountMismatch" with the number of values.
std::string formatEvent(const EventDescription &event, std::span<const std::string> values, LogFormat format,
                        std::chrono::system_clock::time_point time);

} // namespace wisteriafork
