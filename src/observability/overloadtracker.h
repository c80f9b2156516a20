#pragma once

#include "core/base/clock.h"
#include "observability/outcomesreport.h"

#include <cstdint>
#include <optional>

namespace wisteriafork {

// Detects overloads of one service from the outcomes of its calls, counted per second, and measures how long each overload and the
// recovery from it take. Not thread safe: `Outcomes` calls it under its lock.
class OverloadTracker
{
public:
    // Each call is recorded once, in the second in which it ended. The caller numbers the seconds and never goes back to an
    // earlier one.
    void recordCompletion(std::int64_t second, Duration time);
    void recordLoadRefusal(std::int64_t second);
    // Records a call that failed, or that was refused for a reason other than load.
    void recordOtherOutcome(std::int64_t second);

    // The overload in progress at `second`, or else the last one before it. Empty if there was none.
    std::optional<OverloadRecord> lastOverload(std::int64_t second) const;

private:
    // Calls that ended in one second, by outcome.
    struct SecondCounts
    {
        std::int64_t second = 0;
        double offered = 0;
        double completed = 0;
        double refusedForLoad = 0;
        // Sum over the completed calls.
        double totalLatencySeconds = 0;
    };

    // Exponentially weighted means over the seconds without overload. All zero until the first such second with a completed call.
    struct Baseline
    {
        bool isKnown = false;
        double offeredPerSecond = 0;
        double meanLatencySeconds = 0;
    };

    struct Overload
    {
        std::int64_t beginSecond = 0;
        // Last second with a surge of calls over the baseline; -1 if there was none.
        std::int64_t lastSurgeSecond = -1;
        // Consecutive seconds since the last one in which more than 1% of the calls were refused for load.
        std::int64_t secondsWithoutRefusals = 0;
        // First second after the overload; -1 while it is in progress.
        std::int64_t endSecond = -1;
        bool latencyRecovered = true;
    };

    // Evaluates all seconds before `second` and starts counting in it.
    void advanceTo(std::int64_t second);
    // Updates the baseline or the overload from the counts of one complete second.
    void evaluate(const SecondCounts &counts);
    void evaluateDuringOverload(const SecondCounts &counts);
    bool isWithinBaseline(const SecondCounts &counts) const;

    SecondCounts m_currentCounts;
    Baseline m_baseline;
    std::optional<Overload> m_overload;
};

} // namespace wisteriafork
