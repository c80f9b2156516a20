#pragma once

#include <iosfwd>

#include <nlohmann/json.hpp>

namespace wisteriafork {

// Prints the response of /v1/outcomes as text: a table of the outcomes, then one line for the last overload of each service. Throws
// json::exception if the response has an unexpected format.
void printOutcomes(std::ostream &out, const nlohmann::json &outcomes);

} // namespace wisteriafork
