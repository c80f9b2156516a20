#pragma once

#include "core/node/nodeoptions.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace wisteriafork::test {

using Adjust = std::function<void(NodeOptions &)>;

// Runs the invariants on random schedules; on failure the shrunk schedule is printed. The number of schedules can be changed with the
// variable WF_SCHEDULES, and shrinking can be switched off with WF_NO_SHRINK.
bool checkSchedules(std::uint64_t seed, int count, const Adjust &adjust);

// Runs random schedules until one violates the invariant; true if one does. If `part` is given, only violations whose text contains it
// count.
bool isViolated(int invariant, std::uint64_t seed, int count, const Adjust &adjust, std::string_view part = {});

} // namespace wisteriafork::test
