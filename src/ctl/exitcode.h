#pragma once

namespace wisteriafork {

// Exit codes of wisteriaforkctl. docs/administration.md and the help text of each command list them.
enum class ExitCode : int {
    Success = 0,
    // The input has errors, two configurations differ, or a drain did not finish in time.
    NegativeResult = 1,
    // The command, an option or an operand is wrong.
    Usage = 2,
    // A file cannot be read or written.
    FileError = 3,
    // The node cannot be reached or its response is not usable.
    NodeUnreachable = 4,
    // The node denies the request because the token is missing, unknown or lacks the required right.
    Denied = 5,
};

} // namespace wisteriafork
