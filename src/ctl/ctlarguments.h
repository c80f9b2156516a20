#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace wisteriafork {

// Parsed options and operands of one command. An option that was not given leaves its field empty or false.
struct CtlArguments
{
    bool help = false;
    // Print the result as JSON.
    bool json = false;
    // questionnaire check: treat warnings as errors.
    bool strict = false;
    // node drain: end the drain instead of starting it.
    bool undoDrain = false;
    // config generate: version of the new configuration.
    std::optional<std::uint64_t> version;
    // config generate: configuration that was published before and determines the version.
    std::string previousFile;
    // config generate: file for the configuration; empty for standard output.
    std::string outputFile;
    // config generate: file for the value that is published on the platform.
    std::string publishedFile;
    // config show: name of the only service to show.
    std::string service;
    // outcomes: name of the only workspace to show.
    std::string workspace;
    // URL of the administration API, for example "http://127.0.0.1:7300".
    std::string node;
    // File with the bearer token for the administration API.
    std::string tokenFile;
    // File with the certificate authority for https, in PEM format.
    std::string caFile;
    // node drain: longest time to wait until the node is drained.
    std::optional<std::chrono::seconds> drainTimeout;
    std::vector<std::string> operands;
};

// Parses the arguments that follow the name of a command. `allowedOptions` has the long names of its options; any other option except
// --help is an error. The error is a message for the user. Not reentrant: getopt_long keeps global state.
tl::expected<CtlArguments, std::string> parseCtlArguments(std::vector<std::string> arguments,
                                                          const std::vector<std::string> &allowedOptions);

} // namespace wisteriafork
