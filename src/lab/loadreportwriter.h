#pragma once

#include "lab/loadoptions.h"
#include "lab/loadresult.h"

#include <optional>
#include <string>

namespace wisteriafork::lab {

// Returns the seconds from the end of the busiest phase until the service level before this phase was reached again for the rest of the
// run: in each later second, the share of completed requests is at least 95% of the earlier share, and the median latency at most 1.5 times
// the earlier median (wall-clock runs are noisy; the benchmarks in virtual time allow 5%). Empty if the level was not reached again, or if
// there are fewer than three phases, less than two seconds before the busiest one or none after it.
std::optional<unsigned> measureRecovery(const LoadResult &result, const LoadOptions &options);

// Returns the result as JSON text, with times in the units that the names of the fields state.
std::string writeJson(const LoadResult &result, const LoadOptions &options);

// Returns the result as a table for reading, one line per operation.
std::string writeTable(const LoadResult &result, const LoadOptions &options);

} // namespace wisteriafork::lab
