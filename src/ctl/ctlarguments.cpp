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

// Upper bound of --wait.
constexpr std::uint64_t MaxWaitSeconds = 3600;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return number;
}

// Sets the field of an option without value; returns false if `code` is another option.
bool setFlag(CtlArguments &parsed, int code)
{
    switch (code) {
    case 'h':
        parsed.help = true;
        return true;
    case 'j':
        parsed.json = true;
        return true;
    case 's':
        parsed.strict = true;
        return true;
    case 'u':
        parsed.undoDrain = true;
        return true;
    default:
        return false;
    }
}

// Returns the field of an option with a text value; null if `code` is another option.
std::string *textField(CtlArguments &parsed, int code)
{
    switch (code) {
    case 'p':
        return &parsed.previousFile;
    case 'o':
        return &parsed.outputFile;
    case 'd':
        return &parsed.publishedFile;
    case 'S':
        return &parsed.service;
    case 't':
        return &parsed.workspace;
    case 'n':
        return &parsed.node;
    case 'T':
        return &parsed.tokenFile;
    case 'C':
        return &parsed.caFile;
    default:
        return nullptr;
    }
}

// Stores the value of one option. Returns an error message for the user if the value is invalid, otherwise an empty text.
std::string setOption(CtlArguments &parsed, int code, const std::string &value)
{
    if (setFlag(parsed, code)) {
        return {};
    }
    if (std::string *field = textField(parsed, code); field != nullptr) {
        *field = value;
        return value.empty() ? "an option has an empty value" : "";
    }
    const std::optional<std::uint64_t> number = parseNumber(value);
    if (code == 'v') {
        parsed.version = number;
        return number ? "" : "--version needs a whole number, found \"" + value + "\"";
    }
    if (!number || *number > MaxWaitSeconds) {
        return "--wait needs a whole number of seconds up to 3600, found \"" + value + "\"";
    }
    parsed.drainTimeout = std::chrono::seconds(*number);
    return {};
}

} // namespace

tl::expected<CtlArguments, std::string> parseCtlArguments(std::vector<std::string> arguments,
                                                          const std::vector<std::string> &allowedOptions)
{
    std::string program = "wisteriaforkctl";
    std::vector<char *> argv{program.data()};
    for (std::string &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    CtlArguments parsed;
    // 0 makes glibc reset its state, so that several command lines can be parsed in one process.
    optind = 0;
    opterr = 0;
    int optionIndex = -1;
    for (int code = 0; (code = getopt_long(static_cast<int>(argv.size()) - 1, argv.data(), "h", LongOptions.data(), &optionIndex)) != -1;
         optionIndex = -1) {
        if (code == '?') {
            const std::string argument
                = optind > 0 && optind <= static_cast<int>(arguments.size()) + 1 ? argv[static_cast<std::size_t>(optind) - 1] : "";
            return tl::unexpected("unknown option or missing value: " + argument);
        }
        const std::string name = optionIndex >= 0 ? LongOptions[static_cast<std::size_t>(optionIndex)].name : "help";
        if (name != "help" && std::find(allowedOptions.begin(), allowedOptions.end(), name) == allowedOptions.end()) {
            return tl::unexpected("this command has no option --" + name);
        }
        const std::string problem = setOption(parsed, code, optarg != nullptr ? optarg : "");
        if (!problem.empty()) {
            return tl::unexpected(problem);
        }
    }
    parsed.operands.assign(argv.begin() + optind, argv.end() - 1);
    return parsed;
}

} // namespace wisteriafork
