#pragma once

#include "core/config/configuration.h"
#include "core/config/findings.h"

#include <string>
#include <string_view>

namespace wisteriafork {

// The configuration as a readable JSON document with a stable order of members: equal configurations give equal texts. Services are ordered
// by name. This is the file that `wisteriaforkctl config generate` writes and that nodes read.
std::string configurationToJson(const Configuration &configuration);
// Text of one service within such a document.
std::string serviceToJson(const ServiceConfiguration &service);

// Reads the document back. Never throws; collects all findings and returns a value only if there is none.
ValueOrFindings<Configuration> parseConfiguration(std::string_view text);

} // namespace wisteriafork
