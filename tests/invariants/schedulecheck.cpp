#include "invariants/schedulecheck.h"

#include "invariants/simfleet.h"

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>

#include <rapidcheck/detail/Property.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

namespace wisteriafork::test {

bool checkSchedules(std::uint64_t seed, int count, const Adjust &adjust)
{
    const char *override = std::getenv("WF_SCHEDULES");
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = override != nullptr ? std::atoi(override) : count;
    params.maxSize = 20;
    params.disableShrinking = std::getenv("WF_NO_SHRINK") != nullptr;
    rc::detail::TestListenerAdapter listener;
    std::size_t answers = 0;
    const auto property = [&] {
        SimFleet fleet(*anySchedule(), adjust);
        fleet.play();
        answers += fleet.judge().answers();
        const std::string verdict = fleet.verdict();
        if (!verdict.empty()) {
            RC_FAIL(verdict);
        }
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params, listener);
    rc::detail::SuccessResult success;
    if (result.match(success)) {
        std::cout << success.numSuccess << " schedules, seed " << seed << ", " << answers << " answers\n";
        return success.numSuccess == params.maxSuccess && answers > 0;
    }
    rc::detail::printResultMessage(result, std::cout);
    std::cout << std::endl;
    return false;
}

bool isViolated(int invariant, std::uint64_t seed, int count, const Adjust &adjust, std::string_view part)
{
    const rc::Gen<Schedule> gen = anySchedule();
    const std::string wanted = "invariant " + std::to_string(invariant);
    rc::Random random(seed);
    for (int tried = 1; tried <= count; ++tried) {
        SimFleet fleet(gen(random.split(), 20).value(), adjust);
        fleet.play();
        std::istringstream verdict(fleet.verdict());
        for (std::string line; std::getline(verdict, line);) {
            if (line.starts_with(wanted) && line.find(part) != std::string::npos) {
                std::cout << "schedule " << tried << ": " << line << "\n";
                return true;
            }
        }
    }
    return false;
}

} // namespace wisteriafork::test
