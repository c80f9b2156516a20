#pragma once

#include "admin/adminoptions.h"
#include "core/config/locatedjson.h"

#include <string>

namespace wisteriafork {

// Port of the administration API unless the settings give another; also the default of `wisteriaforkctl`.
inline constexpr std::uint16_t DefaultAdminPort = 7300;

// Reads the section `administration` of a node's settings: address, port, allowRemote, tls and tokens. `value` is the section within the
// document and `pointer` its JSON pointer. File names are relative to `directory`. Appends all findings, not just the first.
AdminOptions readAdminOptions(const LocatedJson &document, const nlohmann::json &value, const std::string &pointer,
                              const std::string &directory, Findings &findings);

} // namespace wisteriafork
