#include "schedulecheck.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

#include <rapidcheck/detail/Property.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

namespace wisteriafork::test {

bool checkSchedules(std::uint64_t seed, int count, const std::function<void(const Schedule &)> &check)
{
    const char *override = std::getenv("WF_SCHEDULES");
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = override != nullptr ? std::atoi(override) : count;
    params.maxSize = 20;
    params.disableShrinking = std::getenv("WF_NO_SHRINK") != nullptr;
    rc::detail::TestMetadata metadata;
    metadata.id = "schedules";
    metadata.description = "at most once";
    rc::detail::TestListenerAdapter listener;
    const auto result = rc::detail::checkTestable([&check] { check(*anySchedule()); }, metadata, params, listener);
    rc::detail::SuccessResult success;
    if (result.match(success)) {
        std::cout << success.numSuccess << " schedules, seed " << seed << "\n";
        return success.numSuccess == params.maxSuccess;
    }
    rc::detail::printResultMessage(result, std::cout);
    std::cout << std::endl;
    return false;
}

std::string findViolation(std::uint64_t seed, int count, const std::function<std::string(const Schedule &)> &run)
{
    const rc::Gen<Schedule> gen = anySchedule();
    rc::Random random(seed);
    for (int tried = 1; tried <= count; ++tried) {
        const Schedule schedule = gen(random.split(), 20).value();
        const std::string violation = run(schedule);
        if (!violation.empty()) {
            std::ostringstream text;
            text << "schedule " << tried << ": " << schedule << "\n" << violation;
            return text.str();
        }
    }
    return {};
}

} // namespace wisteriafork::test
