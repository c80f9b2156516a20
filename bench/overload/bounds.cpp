#include "overload/bounds.h"

#include "core/routing/retryoptions.h"

namespace wisteriafork::bench {

namespace {

// Design, section 1.8.
constexpr double LeastGoodput = 0.95;
constexpr double MostAttempts = 1.1;
constexpr double MostInternalShed = 0.001;
constexpr double MostWasted = 0.05;

BoundCheck atMost(std::string what, double measured, double bound)
{
    return {.what = std::move(what), .measured = measured, .bound = bound, .passed = measured <= bound};
}

} // namespace

std::vector<BoundCheck> checkBounds(const Scenario &scenario, const ScenarioResult &result)
{
    std::vector<BoundCheck> checks;
    if (scenario.fault == Fault::Surge) {
        checks.push_back({.what = "goodput in the surge, share of capacity (at least)",
                          .measured = result.goodput,
                          .bound = LeastGoodput,
                          .passed = result.goodput >= LeastGoodput});
        checks.push_back(atMost("attempts per place of the call tree, mean", result.attempts, MostAttempts));
    }
    // Each retry of the budget can run the whole tree once more.
    const double mostRuns = static_cast<double>(result.largestTree) * scenario.options.retry.attemptsPerRequest;
    checks.push_back(atMost("runs of one send on all backend servers", static_cast<double>(result.mostRunsOfSend), mostRuns));
    checks.push_back(atMost("recovery, s", result.recoverySeconds, result.callerWaitSeconds));
    checks.push_back(atMost("criticals refused while reads are admitted", static_cast<double>(result.criticalsRefusedBesideReads), 0.0));
    checks.push_back(atMost("internal lookups lost to shedding, share", result.internalShedShare, MostInternalShed));
    checks.push_back(atMost("work wasted, share", result.wastedShare, MostWasted));
    return checks;
}

} // namespace wisteriafork::bench
