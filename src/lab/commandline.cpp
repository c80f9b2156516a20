#include "lab/commandline.h"

#include <charconv>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include <getopt.h>

namespace wisteriafork::lab {

namespace {

using Handler = std::function<bool(std::string_view)>;

// Options of a subcommand: each takes one argument, and its handler returns false if the argument is malformed.
std::vector<Finding> parseOptions(std::span<char *> arguments, const std::map<std::string, Handler> &handlers)
{
    std::vector<option> options;
    std::vector<const Handler *> ordered;
    for (const auto &[name, handler] : handlers) {
        options.push_back({name.c_str(), required_argument, nullptr, 0});
        ordered.push_back(&handler);
    }
    options.push_back({nullptr, 0, nullptr, 0});
    std::vector<Finding> findings;
    optind = 1;
    opterr = 0;
    int index = 0;
    for (int code = 0; (code = getopt_long(static_cast<int>(arguments.size()), arguments.data(), "", options.data(), &index)) != -1;) {
        if (code != 0) {
            findings.push_back(
                {.pointer = arguments[static_cast<std::size_t>(optind) - 1], .message = "unknown option or missing argument"});
        } else if (!(*ordered[static_cast<std::size_t>(index)])(optarg)) {
            findings.push_back({.pointer = std::string("--") + options[static_cast<std::size_t>(index)].name,
                                .message = "malformed value \"" + std::string(optarg) + "\""});
        }
    }
    return findings;
}

template <typename T>
std::optional<T> parseNumber(std::string_view text)
{
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

template <typename T>
Handler number(T &target)
{
    return [&target](std::string_view text) {
        const std::optional<T> value = parseNumber<T>(text);
        target = value.value_or(target);
        return value.has_value();
    };
}

Handler milliseconds(std::chrono::milliseconds &target)
{
    return [&target](std::string_view text) {
        const std::optional<std::int64_t> value = parseNumber<std::int64_t>(text);
        target = std::chrono::milliseconds(value.value_or(0));
        return value.has_value() && *value >= 0;
    };
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (std::size_t end = 0; (end = text.find(separator)) != std::string_view::npos; text.remove_prefix(end + 1)) {
        parts.push_back(text.substr(0, end));
    }
    parts.push_back(text);
    return parts;
}

Handler endpoints(std::vector<boost::asio::ip::tcp::endpoint> &target)
{
    return [&target](std::string_view text) {
        const std::vector<std::string_view> parts = split(text, ':');
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(std::string(parts[0]), error);
        const std::optional<std::uint16_t> port = parts.size() == 2 ? parseNumber<std::uint16_t>(parts[1]) : std::nullopt;
        if (error || !port) {
            return false;
        }
        target.emplace_back(address, *port);
        return true;
    };
}

// "GET:/registar/shelves"
Handler childCalls(std::vector<ChildCall> &target)
{
    return [&target](std::string_view text) {
        const std::vector<std::string_view> parts = split(text, ':');
        if (parts.size() != 2) {
            return false;
        }
        target.push_back({.method = std::string(parts[0]), .path = std::string(parts[1])});
        return true;
    };
}

// "booking:POST:/rezervacije/bookings:1"
Handler operations(std::vector<LoadOperation> &target)
{
    return [&target](std::string_view text) {
        const std::vector<std::string_view> parts = split(text, ':');
        const std::optional<double> weight = parts.size() == 4 ? parseNumber<double>(parts[3]) : std::nullopt;
        if (!weight) {
            return false;
        }
        target.push_back(
            {.name = std::string(parts[0]), .method = std::string(parts[1]), .path = std::string(parts[2]), .weight = *weight});
        return true;
    };
}

// "10:200" is 10 seconds with 200 new requests per second.
Handler phases(std::vector<LoadPhase> &target)
{
    return [&target](std::string_view text) {
        const std::vector<std::string_view> parts = split(text, ':');
        const std::optional<std::int64_t> seconds = parseNumber<std::int64_t>(parts[0]);
        const std::optional<double> rate = parts.size() == 2 ? parseNumber<double>(parts[1]) : std::nullopt;
        if (!seconds || !rate || *seconds < 0 || *rate < 0) {
            return false;
        }
        target.push_back({.duration = std::chrono::seconds(*seconds), .rate = *rate});
        return true;
    };
}

Handler text(std::string &target)
{
    return [&target](std::string_view value) {
        target = std::string(value);
        return true;
    };
}

Handler texts(std::vector<std::string> &target)
{
    return [&target](std::string_view value) {
        target.emplace_back(value);
        return true;
    };
}

Finding missing(const char *name)
{
    return {.pointer = name, .message = "is required"};
}

} // namespace

tl::expected<StandinServerOptions, std::vector<Finding>> parseServerArguments(std::span<char *> arguments)
{
    StandinServerOptions options;
    std::int64_t serviceTime = options.serviceTime.count();
    std::vector<Finding> findings = parseOptions(arguments,
                                                 {{"name", text(options.name)},
                                                  {"port", number(options.port)},
                                                  {"slots", number(options.slots)},
                                                  {"queue", number(options.queueLength)},
                                                  {"service-time-us", number(serviceTime)},
                                                  {"seed", number(options.seed)},
                                                  {"call", childCalls(options.calls)},
                                                  {"via", endpoints(options.targets)},
                                                  {"tries", number(options.tries)},
                                                  {"call-timeout-ms", milliseconds(options.callTimeout)},
                                                  {"record", text(options.recordFile)}});
    options.serviceTime = std::chrono::microseconds(serviceTime);
    if (options.port == 0) {
        findings.push_back(missing("--port"));
    }
    if (!options.calls.empty() && options.targets.empty()) {
        findings.push_back(missing("--via"));
    }
    if (!findings.empty()) {
        return tl::make_unexpected(std::move(findings));
    }
    return options;
}

tl::expected<StatsOptions, std::vector<Finding>> parseStatsArguments(std::span<char *> arguments)
{
    StatsOptions options;
    std::vector<Finding> findings = parseOptions(arguments, {{"server", endpoints(options.servers)}, {"record", texts(options.records)}});
    if (options.servers.empty()) {
        findings.push_back(missing("--server"));
    }
    if (!findings.empty()) {
        return tl::make_unexpected(std::move(findings));
    }
    return options;
}

tl::expected<LoadOptions, std::vector<Finding>> parseLoadArguments(std::span<char *> arguments, std::string &resultFile)
{
    LoadOptions options;
    std::vector<Finding> findings = parseOptions(arguments,
                                                 {{"target", endpoints(options.targets)},
                                                  {"operation", operations(options.operations)},
                                                  {"phase", phases(options.phases)},
                                                  {"wait-ms", milliseconds(options.wait)},
                                                  {"resend-ms", milliseconds(options.resendTime)},
                                                  {"resend-gap-ms", milliseconds(options.resendGap)},
                                                  {"seed", number(options.seed)},
                                                  {"result", text(resultFile)}});
    if (options.targets.empty()) {
        findings.push_back(missing("--target"));
    }
    if (options.operations.empty()) {
        findings.push_back(missing("--operation"));
    }
    if (options.phases.empty()) {
        findings.push_back(missing("--phase"));
    }
    if (!findings.empty()) {
        return tl::make_unexpected(std::move(findings));
    }
    return options;
}

tl::expected<SoakOptions, std::vector<Finding>> parseSoakArguments(std::span<char *> arguments)
{
    SoakOptions options;
    std::vector<Finding> findings = parseOptions(arguments,
                                                 {{"seeds", number(options.seeds)},
                                                  {"first-seed", number(options.firstSeed)},
                                                  {"hosts-per-service", number(options.hostsPerService)},
                                                  {"log", text(options.logFile)}});
    if (options.hostsPerService == 0) {
        findings.push_back({.pointer = "--hosts-per-service", .message = "must be at least 1"});
    }
    if (!findings.empty()) {
        return tl::make_unexpected(std::move(findings));
    }
    return options;
}

const char *usage()
{
    return "usage: wisteriafork-lab <command> [options]\n"
           "\n"
           "commands:\n"
           "  server     run a stand-in for a backend server\n"
           "             --name NAME --port PORT [--slots N] [--queue N] [--service-time-us N] [--seed N]\n"
           "             [--call METHOD:PATH]... [--via IP:PORT]... [--tries N] [--call-timeout-ms N]\n"
           "             [--record FILE]\n"
           "  stats      add up the counters of stand-in servers; a booking counts once however many servers ran it\n"
           "             --server IP:PORT... [--record FILE]...\n"
           "  load       send requests as old clients do, and print the outcomes\n"
           "             --target IP:PORT... --operation NAME:METHOD:PATH:WEIGHT... --phase SECONDS:RATE...\n"
           "             [--wait-ms N] [--resend-ms N] [--resend-gap-ms N] [--seed N] [--result FILE]\n"
           "  soak       play fleets of nodes in virtual time under drawn troubles, and check every promise\n"
           "             [--seeds N] [--first-seed N] [--hosts-per-service N] [--log FILE]\n"
           "\n"
           "exit codes: 0 done, 1 a promise was broken or answers reached the wrong caller, 2 wrong arguments\n";
}

} // namespace wisteriafork::lab
