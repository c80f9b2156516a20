#pragma once

#include <string>

#include <tl/expected.hpp>

namespace wisteriafork {

// Returns the whole content of a file. The error is a message for the user and contains the path.
tl::expected<std::string, std::string> readTextFile(const std::string &path);

// Replaces a file atomically: writes a temporary file in the same directory and renames it, so that no reader sees incomplete content.
// Returns an empty text, or an error message for the user.
std::string writeTextFile(const std::string &path, const std::string &content);

} // namespace wisteriafork
