#pragma once

#include <string>

#include <tl/expected.hpp>

namespace wisteriafork {

// Whole content of a file. The error is a text for people with the path.
tl::expected<std::string, std::string> readTextFile(const std::string &path);

// Writes a file through a temporary file beside it and a rename, so that a reader never sees half of it. Gives an empty text, or the error.
std::string writeTextFile(const std::string &path, const std::string &content);

} // namespace wisteriafork
