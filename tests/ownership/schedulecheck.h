#pragma once

#include "schedule.h"

#include <functional>

namespace wisteriafork::test {

// Runs the check on random schedules; on failure the shrunk schedule is printed. The number of schedules can be changed with the variable
// WF_SCHEDULES for long runs outside CI.
bool checkSchedules(std::uint64_t seed, int count, const std::function<void(const Schedule &)> &check);

} // namespace wisteriafork::test
