#pragma once

#include <cstdint>
#include <string>

namespace wisteriafork {

// Whether a checked document is unusable (error) or only questionable (warning).
enum class Severity : std::uint8_t {
    Warning,
    Error,
};

// A problem in a checked document and its location. Checks collect all findings and report them together.
struct Finding
{
    Severity severity = Severity::Error;
    // JSON pointer (RFC 6901) into the checked document.
    std::string pointer;
    // Line number in the source text, starting at 1; 0 if unknown.
    unsigned line = 0;
    std::string message;

    friend bool operator==(const Finding &, const Finding &) = default;
};

} // namespace wisteriafork
