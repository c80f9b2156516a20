#pragma once

#include <random>

namespace wisteriafork {

// Random engine of the core. It is passed in with its seed, so that a run can be repeated.
using RandomEngine = std::mt19937_64;

} // namespace wisteriafork
