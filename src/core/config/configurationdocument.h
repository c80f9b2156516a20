#pragma once

#include "core/config/configuration.h"
#include "core/config/findings.h"

#include <string>
#include <string_view>

namespace wisteriafork {

// Formats a configuration as an indented JSON document, the file that `wisteriaforkctl config generate` writes and that nodes read. Members
// have a fixed order and services are ordered by id, so that equal configurations give equal texts.
std::string configurationToJson(const Configuration &configuration);

// Formats one service as an indented JSON object with the same members as in the document.
std::string serviceToJson(const ServiceConfiguration &service);

// Reads a document written by `configurationToJson`. Returns the configuration with its services ordered by id, or all findings ordered by
// line. Never throws.
ValueOrFindings<Configuration> parseConfiguration(std::string_view text);

} // namespace wisteriafork
