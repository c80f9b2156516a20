#pragma once

#include "lab/loadoptions.h"
#include "lab/loadresult.h"

#include <optional>
#include <string>

namespace wisteriafork::lab {

// Seconds from the end of the busiest phase until callers were served as before it: in each later second at least 95% of the share of
// requests that completed before, and a median latency of at most 1.5 times the median before (wall-clock runs are noisy; the benchmarks in
// virtual time use 5%). Empty if the state before was not reached again or there is only one phase.
std::optional<unsigned> measureRecovery(const LoadResult &result, const LoadOptions &options);

// The result as JSON text.
std::string writeJson(const LoadResult &result, const LoadOptions &options);

// The result as a table for people.
std::string writeTable(const LoadResult &result, const LoadOptions &options);

} // namespace wisteriafork::lab
