#pragma once

#include <cstdint>
#include <string>

namespace wisteriafork {

enum class Severity : std::uint8_t {
    Warning,
    Error,
};

// One problem found in an input, with its place. Checks collect all findings and report them together.
struct Finding
{
    Severity severity = Severity::Error;
    // JSON pointer (RFC 6901) into the checked document.
    std::string pointer;
    // Line in the source text, 1-based; 0 if unknown.
    unsigned line = 0;
    std::string message;

    friend bool operator==(const Finding &, const Finding &) = default;
};

} // namespace wisteriafork
