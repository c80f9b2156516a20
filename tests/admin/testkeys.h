#pragma once

#include <string>

namespace wisteriafork {

// Writes a self-signed certificate for 127.0.0.1 and its key in PEM form. Returns false on failure.
bool writeTestKeys(const std::string &certificateFile, const std::string &keyFile);

} // namespace wisteriafork
