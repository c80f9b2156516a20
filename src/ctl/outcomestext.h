#pragma once

#include <iosfwd>

#include <nlohmann/json.hpp>

namespace wisteriafork {

// Prints the answer of /v1/outcomes as tables. Throws json::exception if the answer has another form.
void printOutcomes(std::ostream &out, const nlohmann::json &outcomes);

} // namespace wisteriafork
