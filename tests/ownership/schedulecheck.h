#pragma once

#include "schedule.h"

#include <functional>
#include <string>

namespace wisteriafork::test {

// Runs the check on random schedules; on failure the shrunk schedule is printed. For long runs outside CI the number of schedules can be
// changed with the variable WF_SCHEDULES, and shrinking can be switched off with WF_NO_SHRINK.
bool checkSchedules(std::uint64_t seed, int count, const std::function<void(const Schedule &)> &check);

// Runs random schedules until one gives a violation; returns it with its schedule, or an empty text if none does.
std::string findViolation(std::uint64_t seed, int count, const std::function<std::string(const Schedule &)> &run);

} // namespace wisteriafork::test
