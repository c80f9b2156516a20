#pragma once

#include "admin/administrationsource.h"

#include <vector>

#include <nlohmann/json.hpp>

namespace wisteriafork {

// Response bodies of the administration API, as described in openapi.json.
nlohmann::json statusJson(const NodeStatus &status);
nlohmann::json outcomesJson(const OutcomesReport &report);
nlohmann::json instancesJson(const std::vector<Instance> &instances);

} // namespace wisteriafork
