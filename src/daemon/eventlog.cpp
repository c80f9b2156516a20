#include "daemon/eventlog.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>

#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

namespace wisteriafork {

namespace log = boost::log;

namespace {

constexpr std::size_t QueuedLines = 16384;

using Sink = log::sinks::asynchronous_sink<log::sinks::text_ostream_backend,
                                           log::sinks::bounded_fifo_queue<QueuedLines, log::sinks::drop_on_overflow>>;

// UTC time with milliseconds, "2026-12-04T09:50:00.123Z".
std::string timeText()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%FT%T", &parts);
    std::snprintf(text.data() + size, text.size() - size, ".%03dZ", static_cast<int>(millis));
    return text.data();
}

bool isPlain(std::string_view value)
{
    return !value.empty() && value.find_first_of(" \t\r\n\"\\=") == std::string_view::npos;
}

void appendValue(std::string &line, std::string_view value)
{
    if (isPlain(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        // Control characters would let a request write lines of its own into the log.
        line += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    line += '"';
}

} // namespace

class EventLog::Private
{
public:
    LogLevel level = LogLevel::Info;
    log::sources::logger_mt logger;
    boost::shared_ptr<Sink> sink;
};

EventLog::EventLog(const EventLogOptions &options) : d(std::make_unique<Private>())
{
    d->level = options.level;
    const auto backend = boost::make_shared<log::sinks::text_ostream_backend>();
    if (options.file.empty()) {
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream *) {}));
    } else {
        backend->add_stream(boost::make_shared<std::ofstream>(options.file, std::ios::app));
    }
    d->sink = boost::make_shared<Sink>(backend);
    log::core::get()->add_sink(d->sink);
}

EventLog::~EventLog()
{
    log::core::get()->remove_sink(d->sink);
    d->sink->stop();
    d->sink->flush();
}

void EventLog::write(LogEvent event, std::initializer_list<Field> fields)
{
    const LogEventInfo &info = logEventInfo(event);
    if (info.level < d->level) {
        return;
    }
    std::string line = timeText();
    line += ' ';
    line += logLevelName(info.level);
    line += ' ';
    line += std::to_string(static_cast<unsigned>(event));
    line += ' ';
    line += info.name;
    for (const auto &[name, value] : fields) {
        line += ' ';
        line += name;
        line += '=';
        appendValue(line, value);
    }
    if (log::record record = d->logger.open_record()) {
        log::record_ostream stream(record);
        stream << line;
        stream.flush();
        d->logger.push_record(std::move(record));
    }
}

void EventLog::write(const Decision &decision)
{
    write(logEventFor(decision.kind),
          {{"request", decision.requestId},
           {"service", decision.service.value()},
           {"node", decision.node.value()},
           {"reason", decision.reason}});
}

} // namespace wisteriafork
