#pragma once

#include "daemon/logevent.h"

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace wisteriafork {

struct EventLogOptions
{
    LogLevel level = LogLevel::Info;
    // Empty means the standard error stream.
    std::string file;
};

// Writes numbered events through Boost.Log, one line each: time, level, number, name and fields. Lines are written by a thread of their
// own; when more lines wait than its queue holds, further lines are dropped rather than delaying calls. One per process. Thread safe.
class EventLog
{
public:
    using Field = std::pair<std::string_view, std::string_view>;

    explicit EventLog(const EventLogOptions &options);
    // Writes what is queued.
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void write(LogEvent event, std::initializer_list<Field> fields);
    void write(const Decision &decision);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
