#pragma once

#include "core/base/clock.h"
#include "core/overload/readclosureoptions.h"

#include <optional>

namespace wisteriafork {

// Keeps the order of shedding in time at one instance: between a level that admits reads and one that cuts critical calls, in either
// direction, the instance stays at the level that admits critical calls only for as long as all others need to learn of it.
class ShedSequence
{
public:
    ShedSequence(ReadClosureOptions options, const Clock &clock);

    // Scale in force for the wanted one. Call it on each change of the wanted scale, and on each tick.
    double apply(double wanted);

    // Counts a read that has arrived, admitted or not.
    void readArrived();

    // True if a critical call may be refused for load.
    bool mayRefuseCritical() const;
    // Counts a critical call that was refused for load.
    void criticalRefused();

private:
    double ceiling() const;

    ReadClosureOptions m_options;
    const Clock &m_clock;
    std::optional<TimePoint> m_closed;
    std::optional<TimePoint> m_criticalRefused;
    // Since the end of the last closure, until the level has opened.
    bool m_opening = false;
    std::optional<TimePoint> m_rampStart;
};

} // namespace wisteriafork
