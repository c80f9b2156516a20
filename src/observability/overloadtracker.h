#pragma once

#include "core/base/clock.h"
#include "observability/outcomesreport.h"

#include <cstdint>
#include <optional>

namespace wisteriafork {

// Finds overloads of one service in the calls that end in each second, and measures how long they last. Not thread safe; used by
// `Outcomes`.
class OverloadTracker
{
public:
    // Seconds are numbered from the start of counting and never go back.
    void completed(std::int64_t second, Duration time);
    void refusedForLoad(std::int64_t second);
    void endedOtherwise(std::int64_t second);

    // Last overload; empty if there was none.
    std::optional<OverloadRecord> record(std::int64_t second) const;

private:
    struct Second
    {
        std::int64_t number = 0;
        double offered = 0;
        double completed = 0;
        double refused = 0;
        double totalTime = 0;
    };

    // What is normal for the service: weighted means over the seconds without overload.
    struct Baseline
    {
        bool known = false;
        double offered = 0;
        double time = 0;
    };

    struct Overload
    {
        std::int64_t begin = 0;
        // Last second with more calls than normal; -1 if there was none.
        std::int64_t lastSurge = -1;
        std::int64_t calmSeconds = 0;
        // First second after the overload; -1 while it lasts.
        std::int64_t end = -1;
        bool latencyRecovered = true;
    };

    void advance(std::int64_t second);
    void close(const Second &second);
    void closeDuringOverload(const Second &second);
    bool isWithinBaseline(const Second &second) const;

    Second m_current;
    Baseline m_baseline;
    std::optional<Overload> m_overload;
};

} // namespace wisteriafork
