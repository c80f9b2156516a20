#include "observability/eventlog.h"

#include <atomic>
#include <ctime>
#include <ostream>
#include <utility>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {

namespace logging = boost::log;
// Capacity of the queue to the background thread.
constexpr std::size_t MaximumQueuedLines = 8192;

using Backend = logging::sinks::text_ostream_backend;
using DirectSink = logging::sinks::synchronous_sink<Backend>;
using BackgroundSink
    = logging::sinks::asynchronous_sink<Backend, logging::sinks::bounded_fifo_queue<MaximumQueuedLines, logging::sinks::drop_on_overflow>>;

// Attribute with the number of the log that wrote a record. Each sink filters by it, because the core of Boost.Log passes each record to
// all sinks of the process.
constexpr const char *OwnerAttribute = "WisteriaforkLog";

std::uint64_t nextLogId()
{
    static std::atomic<std::uint64_t> lastId{0};
    return ++lastId;
}

// UTC with milliseconds, "2026-12-04T09:30:00.125Z".
std::string formatTime(std::chrono::system_clock::time_point time)
{
    const auto milliseconds = std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::string text(32, '\0');
    text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts));
    const std::string fraction = std::to_string(milliseconds % 1000);
    return text + "." + std::string(3 - fraction.size(), '0') + fraction + "Z";
}

// JSON string in ASCII; bytes that are not valid UTF-8 are replaced.
std::string quotedText(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

// Quoted if it is empty or has characters that could end the value.
std::string keyValueText(const std::string &text)
{
    constexpr std::string_view unquotedCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+";
    return !text.empty() && text.find_first_not_of(unquotedCharacters) == std::string::npos ? text : quotedText(text);
}

} // namespace

class EventLog::Impl
{
public:
    Impl(LogOptions logOptions, std::ostream &stream) : options(logOptions)
    {
        const std::uint64_t id = nextLogId();
        logger.add_attribute(OwnerAttribute, logging::attributes::constant<std::uint64_t>(id));
        auto backend = boost::make_shared<Backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
        backend->auto_flush(true);
        if (options.background) {
            backgroundSink = boost::make_shared<BackgroundSink>(backend);
            sink = backgroundSink;
            backgroundSink->set_filter(logging::expressions::attr<std::uint64_t>(OwnerAttribute) == id);
        } else {
            const auto directSink = boost::make_shared<DirectSink>(backend);
            directSink->set_filter(logging::expressions::attr<std::uint64_t>(OwnerAttribute) == id);
            sink = directSink;
        }
        logging::core::get()->add_sink(sink);
    }

    ~Impl()
    {
        logging::core::get()->remove_sink(sink);
        if (backgroundSink) {
            backgroundSink->stop();
        }
        sink->flush();
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    LogOptions options;
    logging::sources::logger_mt logger;
    boost::shared_ptr<logging::sinks::sink> sink;
    // Null if lines are written directly.
    boost::shared_ptr<BackgroundSink> backgroundSink;
};

EventLog::EventLog(LogOptions options, std::ostream &stream) : m_impl(std::make_unique<Impl>(options, stream))
{
}

EventLog::~EventLog() = default;

void EventLog::write(EventNumber number, const std::vector<std::string> &values)
{
    const EventDescription &event = describeEvent(number);
    if (event.severity < m_impl->options.minimumSeverity) {
        return;
    }
    const std::string line = formatEvent(event, values, m_impl->options.format, std::chrono::system_clock::now());
    BOOST_LOG(m_impl->logger) << line;
}

std::string formatEvent(const EventDescription &event, std::span<const std::string> values, LogFormat format,
                        std::chrono::system_clock::time_point time)
{
    std::vector<std::pair<std::string, std::string>> members{{"time", quotedText(formatTime(time))},
                                                             {"event", std::to_string(static_cast<unsigned>(event.number))},
                                                             {"name", quotedText(std::string(event.name))},
                                                             {"severity", quotedText(std::string(logSeverityName(event.severity)))}};
    if (format == LogFormat::KeyValue) {
        members[0].second = formatTime(time);
        members[2].second = std::string(event.name);
        members[3].second = std::string(logSeverityName(event.severity));
    }
    for (std::size_t index = 0; index < event.fields.size() && index < values.size(); ++index) {
        members.emplace_back(event.fields[index], format == LogFormat::Json ? quotedText(values[index]) : keyValueText(values[index]));
    }
    if (values.size() != event.fields.size()) {
        members.emplace_back("fieldCountMismatch", std::to_string(values.size()));
    }
    std::string line;
    for (const auto &[name, value] : members) {
        if (format == LogFormat::Json) {
            line.append(line.empty() ? "{\"" : ",\"").append(name).append("\":").append(value);
        } else {
            line.append(line.empty() ? "" : " ").append(name).append("=").append(value);
        }
    }
    return format == LogFormat::Json ? line + "}" : line;
}

} // namespace wisteriafork
