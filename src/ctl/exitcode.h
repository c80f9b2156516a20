#pragma once

namespace wisteriafork {

// Exit codes of wisteriaforkctl, documented in docs/administration.md and in each --help.
enum class ExitCode : int {
    Success = 0,
    // The input has errors, or two configurations differ, or a drain did not finish in time.
    Negative = 1,
    Usage = 2,
    // A file cannot be read or written.
    FileError = 3,
    // The node cannot be reached or gives no usable answer.
    NodeUnreachable = 4,
    // The node denies the request: token missing, unknown or without the right.
    Denied = 5,
};

} // namespace wisteriafork
