#pragma once

#include <string_view>

namespace wisteriafork {

// The OpenAPI document of the administration API, from src/admin/openapi.json.
std::string_view administrationSchema();

} // namespace wisteriafork
