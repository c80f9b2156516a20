#include "ctl/ctlarguments.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include <getopt.h>

namespace wisteriafork {

namespace {

const std::array<option, 15> LongOptions{{{"help", no_argument, nullptr, 'h'},
                                          {"json", no_argument, nullptr, 'j'},
                                          {"strict", no_argument, nullptr, 's'},
                                          {"undo", no_argument, nullptr, 'u'},
                                          {"version", required_argument, nullptr, 'v'},
                                          {"previous", required_argument, nullptr, 'p'},
                                          {"output", required_argument, nullptr, 'o'},
                                          {"published", required_argument, nullptr, 'd'},
                                          {"service", required_argument, nullptr, 'S'},
                                          {"workspace", required_argument, nullptr, 't'},
                                          {"node", required_argument, nullptr, 'n'},
                                          {"token-file", required_argument, nullptr, 'T'},
                                          {"ca-file", required_argument, nullptr, 'C'},
                                          {"wait", required_argument, nullptr, 'w'},
                                          {nullptr, 0, nullptr, 0}}};

// Longest time for which a command waits.
constexpr std::uint64_t LongestWaitSeconds = 3600;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return number;
}

bool setFlag(CtlArguments &line, int code)
{
    switch (code) {
    case 'h':
        line.help = true;
        return true;
    case 'j':
        line.json = true;
        return true;
    case 's':
        line.strict = true;
        return true;
    case 'u':
        line.undo = true;
        return true;
    default:
        return false;
    }
}

std::string *textMember(CtlArguments &line, int code)
{
    switch (code) {
    case 'p':
        return &line.previousFile;
    case 'o':
        return &line.outputFile;
    case 'd':
        return &line.publishedFile;
    case 'S':
        return &line.service;
    case 't':
        return &line.workspace;
    case 'n':
        return &line.node;
    case 'T':
        return &line.tokenFile;
    case 'C':
        return &line.caFile;
    default:
        return nullptr;
    }
}

// Takes one option over; gives a text for people if its value is not usable.
std::string setOption(CtlArguments &line, int code, const std::string &value)
{
    if (setFlag(line, code)) {
        return {};
    }
    if (std::string *member = textMember(line, code); member != nullptr) {
        *member = value;
        return value.empty() ? "an option has an empty value" : "";
    }
    const std::optional<std::uint64_t> number = parseNumber(value);
    if (code == 'v') {
        line.version = number;
        return number ? "" : "--version needs a whole number, found \"" + value + "\"";
    }
    if (!number || *number > LongestWaitSeconds) {
        return "--wait needs a whole number of seconds up to 3600, found \"" + value + "\"";
    }
    line.wait = std::chrono::seconds(*number);
    return {};
}

} // namespace

tl::expected<CtlArguments, std::string> parseCtlArguments(std::vector<std::string> arguments, const std::vector<std::string> &allowed)
{
    std::string program = "wisteriaforkctl";
    std::vector<char *> raw{program.data()};
    for (std::string &argument : arguments) {
        raw.push_back(argument.data());
    }
    raw.push_back(nullptr);
    CtlArguments line;
    // 0 makes glibc start over, so that several command lines can be parsed in one process.
    optind = 0;
    opterr = 0;
    int position = -1;
    for (int code = 0; (code = getopt_long(static_cast<int>(raw.size()) - 1, raw.data(), "h", LongOptions.data(), &position)) != -1;
         position = -1) {
        if (code == '?') {
            const std::string argument
                = optind > 0 && optind <= static_cast<int>(arguments.size()) + 1 ? raw[static_cast<std::size_t>(optind) - 1] : "";
            return tl::unexpected("unknown option or missing value: " + argument);
        }
        const std::string name = position >= 0 ? LongOptions[static_cast<std::size_t>(position)].name : "help";
        if (name != "help" && std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
            return tl::unexpected("this command has no option --" + name);
        }
        const std::string problem = setOption(line, code, optarg != nullptr ? optarg : "");
        if (!problem.empty()) {
            return tl::unexpected(problem);
        }
    }
    line.operands.assign(raw.begin() + optind, raw.end() - 1);
    return line;
}

} // namespace wisteriafork
