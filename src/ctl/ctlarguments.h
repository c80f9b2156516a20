#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace wisteriafork {

// Options and operands of one command, after the words that name the command.
struct CtlArguments
{
    bool help = false;
    bool json = false;
    // questionnaire check: warnings count as errors.
    bool strict = false;
    // node drain: take the drain back.
    bool undo = false;
    std::optional<std::uint64_t> version;
    std::string previousFile;
    std::string outputFile;
    std::string publishedFile;
    std::string service;
    std::string workspace;
    // URL of the administration API, "http://127.0.0.1:7300".
    std::string node;
    std::string tokenFile;
    std::string caFile;
    std::optional<std::chrono::seconds> wait;
    std::vector<std::string> operands;
};

// Parses options with getopt_long. `allowed` names the long options of the command; all others are an error. The error is a text for
// people.
tl::expected<CtlArguments, std::string> parseCtlArguments(std::vector<std::string> arguments, const std::vector<std::string> &allowed);

} // namespace wisteriafork
