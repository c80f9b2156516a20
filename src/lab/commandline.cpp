#include "lab/commandline.h"

#include <charconv>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include <getopt.h>

namespace wisteriafork::lab {

namespace {

// Parses and stores the argument of an option. Returns false if the argument is malformed.
using ArgumentParser = std::function<bool(std::string_view)>;

// Parses the options of a command. Each option takes one argument, which is passed to the parser under the name of the option.
std::vector<Finding> parseOptions(std::span<char *> arguments, const std::map<std::string, ArgumentParser> &parsers)
{
    std::vector<option> options;
    std::vector<const ArgumentParser *> parsersByIndex;
    for (const auto &[name, parser] : parsers) {
        options.push_back({name.c_str(), required_argument, nullptr, 0});
        parsersByIndex.push_back(&parser);
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
        } else if (!(*parsersByIndex[static_cast<std::size_t>(index)])(optarg)) {
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
ArgumentParser numberParser(T &target)
{
    return [&target](std::string_view text) {
        const std::optional<T> value = parseNumber<T>(text);
        target = value.value_or(target);
        return value.has_value();
    };
}

ArgumentParser millisecondsParser(std::chrono::milliseconds &target)
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

ArgumentParser endpointParser(std::vector<boost::asio::ip::tcp::endpoint> &target)
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

// For example "GET:/registar/shelves".
ArgumentParser childCallParser(std::vector<ChildCall> &target)
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

// For example "booking:POST:/rezervacije/bookings:1".
ArgumentParser operationParser(std::vector<LoadOperation> &target)
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

// For example "10:200": 10 seconds with 200 new requests per second.
ArgumentParser phaseParser(std::vector<LoadPhase> &target)
{
    return [&target](std::string_view text) {
        const std::vector<std::string_view> parts = split(text, ':');
        const std::optional<std::int64_t> seconds = parseNumber<std::int64_t>(parts[0]);
        const std::optional<double> rate = parts.size() == 2 ? parseNumber<double>(parts[1]) : std::nullopt;
        if (!seconds || !rate || *seconds < 0 || *rate < 0) {
            return false;
        }
        target.push_back({.duration = std::chrono::seconds(*seconds), .requestsPerSecond = *rate});
        return true;
    };
}

ArgumentParser textParser(std::string &target)
{
    return [&target](std::string_view value) {
        target = std::string(value);
        return true;
    };
}

// "yes" or "no".
ArgumentParser choiceParser(bool &target)
{
    return [&target](std::string_view text) {
        target = text == "yes";
        return text == "yes" || text == "no";
    };
}

ArgumentParser framingParser(ResponseFraming &target)
{
    return [&target](std::string_view text) {
        const std::map<std::string_view, ResponseFraming> framings{{"length", ResponseFraming::Length},
                                                                   {"chunked", ResponseFraming::Chunked},
                                                                   {"close", ResponseFraming::Close},
                                                                   {"mixed", ResponseFraming::Mixed}};
        const auto found = framings.find(text);
        target = found == framings.end() ? target : found->second;
        return found != framings.end();
    };
}

ArgumentParser textListParser(std::vector<std::string> &target)
{
    return [&target](std::string_view value) {
        target.emplace_back(value);
        return true;
    };
}

Finding missingOption(const char *name)
{
    return {.pointer = name, .message = "is required"};
}

} // namespace

tl::expected<StandinServerOptions, std::vector<Finding>> parseServerArguments(std::span<char *> arguments)
{
    StandinServerOptions options;
    std::int64_t serviceTimeUs = options.meanServiceTime.count();
    std::vector<Finding> findings = parseOptions(arguments,
                                                 {{"name", textParser(options.name)},
                                                  {"port", numberParser(options.port)},
                                                  {"slots", numberParser(options.slots)},
                                                  {"queue", numberParser(options.maxQueueLength)},
                                                  {"service-time-us", numberParser(serviceTimeUs)},
                                                  {"seed", numberParser(options.seed)},
                                                  {"call", childCallParser(options.childCalls)},
                                                  {"via", endpointParser(options.targets)},
                                                  {"tries", numberParser(options.attemptsPerCall)},
                                                  {"call-timeout-ms", millisecondsParser(options.callTimeout)},
                                                  {"record", textParser(options.recordFile)},
                                                  {"journal", textParser(options.journalFile)},
                                                  {"framing", framingParser(options.framing)},
                                                  {"padding", numberParser(options.maxPaddingBytes)}});
    options.meanServiceTime = std::chrono::microseconds(serviceTimeUs);
    if (options.port == 0) {
        findings.push_back(missingOption("--port"));
    }
    if (!options.childCalls.empty() && options.targets.empty()) {
        findings.push_back(missingOption("--via"));
    }
    if (!findings.empty()) {
        return tl::make_unexpected(std::move(findings));
    }
    return options;
}

tl::expected<StatsOptions, std::vector<Finding>> parseStatsArguments(std::span<char *> arguments)
{
    StatsOptions options;
    std::vector<Finding> findings
        = parseOptions(arguments, {{"server", endpointParser(options.servers)}, {"record", textListParser(options.recordFiles)}});
    if (options.servers.empty()) {
        findings.push_back(missingOption("--server"));
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
                                                 {{"target", endpointParser(options.targets)},
                                                  {"operation", operationParser(options.operations)},
                                                  {"phase", phaseParser(options.phases)},
                                                  {"wait-ms", millisecondsParser(options.attemptTimeout)},
                                                  {"resend-ms", millisecondsParser(options.resendDuration)},
                                                  {"resend-gap-ms", millisecondsParser(options.resendDelay)},
                                                  {"seed", numberParser(options.seed)},
                                                  {"result", textParser(resultFile)}});
    if (options.targets.empty()) {
        findings.push_back(missingOption("--target"));
    }
    if (options.operations.empty()) {
        findings.push_back(missingOption("--operation"));
    }
    if (options.phases.empty()) {
        findings.push_back(missingOption("--phase"));
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
                                                 {{"seeds", numberParser(options.seeds)},
                                                  {"first-seed", numberParser(options.firstSeed)},
                                                  {"hosts-per-service", numberParser(options.hostsPerService)},
                                                  {"log", textParser(options.logFile)}});
    if (options.hostsPerService == 0) {
        findings.push_back({.pointer = "--hosts-per-service", .message = "must be at least 1"});
    }
    if (!findings.empty()) {
        return tl::make_unexpected(std::move(findings));
    }
    return options;
}

tl::expected<FaultSoakOptions, std::vector<Finding>> parseFaultSoakArguments(std::span<char *> arguments)
{
    FaultSoakOptions options;
    std::int64_t seconds = options.loadTime.count();
    std::vector<Finding> findings = parseOptions(arguments,
                                                 {{"seeds", numberParser(options.seeds)},
                                                  {"first-seed", numberParser(options.firstSeed)},
                                                  {"seconds", numberParser(seconds)},
                                                  {"clients", numberParser(options.clients)},
                                                  {"node", textParser(options.nodeProgram)},
                                                  {"lab", textParser(options.labProgram)},
                                                  {"directory", textParser(options.directory)},
                                                  {"first-port", numberParser(options.firstPort)},
                                                  {"echo", choiceParser(options.echo)}});
    options.loadTime = std::chrono::seconds(seconds);
    if (options.nodeProgram.empty()) {
        findings.push_back(missingOption("--node"));
    }
    if (seconds < 1) {
        findings.push_back({.pointer = "--seconds", .message = "must be at least 1"});
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
           "             [--record FILE] [--journal FILE] [--framing length|chunked|close|mixed] [--padding BYTES]\n"
           "  stats      add up the counters of stand-in servers; a booking counts once however many servers ran it\n"
           "             --server IP:PORT... [--record FILE]...\n"
           "  load       send requests as old clients do, and print the outcomes\n"
           "             --target IP:PORT... --operation NAME:METHOD:PATH:WEIGHT... --phase SECONDS:RATE...\n"
           "             [--wait-ms N] [--resend-ms N] [--resend-gap-ms N] [--seed N] [--result FILE]\n"
           "  soak       play fleets of nodes in virtual time under drawn troubles, and check every promise\n"
           "             [--seeds N] [--first-seed N] [--hosts-per-service N] [--log FILE]\n"
           "  fault-soak run nodes and stand-in servers as processes, with faulty links and signals, and check every promise\n"
           "             --node PROGRAM [--lab PROGRAM] [--seeds N] [--first-seed N] [--seconds N] [--clients N]\n"
           "             [--directory DIRECTORY] [--first-port PORT] [--echo yes|no]\n"
           "\n"
           "exit codes: 0 done, 1 a promise was broken or answers reached the wrong caller, 2 wrong arguments\n";
}

} // namespace wisteriafork::lab
