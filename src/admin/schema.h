#pragma once

#include <string_view>

namespace wisteriafork {

// The OpenAPI document of the administration API, compiled in from src/admin/openapi.json.
std::string_view administrationSchema();

} // namespace wisteriafork
