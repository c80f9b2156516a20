#pragma once

#include <random>

namespace wisteriafork {

// Random number generator of the core. The owner seeds it, so that a run is reproducible.
using RandomEngine = std::mt19937_64;

} // namespace wisteriafork
