#pragma once

#include "core/base/loadreport.h"

#include <algorithm>
#include <cstdint>

namespace wisteriafork {

// Number of cuts within one class, and of all levels.
inline constexpr double CutsPerClass = 256.0;
inline constexpr double FullScale = 3 * CutsPerClass;
// Level that admits critical calls only, and all of them.
inline constexpr double CriticalOnlyScale = CutsPerClass;

// Position of a request within its class, 0 to below 256. The integer part is the value that `AdmissionLevel::cut` refers to.
double hashPosition(std::uint64_t requestHash);

// Levels on one linear scale: 768 admits everything, 0 nothing. Equal for {Read, 256} and {Bulk, 0}.
double toScale(const AdmissionLevel &level);
AdmissionLevel fromScale(double scale);

// Part of a class that a scale admits, 0 to 1.
double admittedShare(double scale, CallClass callClass);

// True if the scale admits a request with this class and hash.
bool admits(double scale, CallClass callClass, std::uint64_t requestHash);

// The stricter of two levels.
AdmissionLevel stricter(const AdmissionLevel &first, const AdmissionLevel &second);

} // namespace wisteriafork
