#pragma once

#include "core/base/clock.h"

#include <cstddef>

namespace wisteriafork {

// Mean time that a call holds a slot, from finished calls and from the age of running ones.
class HoldingEstimate
{
public:
    void started(TimePoint start);
    // Ends a call that ran since `start`.
    void ended(TimePoint start);
    // Takes in the time of a finished call, in seconds.
    void sample(double held);

    // Mean over finished calls in seconds; 0 until known.
    double finished() const;
    // The larger of that mean and what the age of the running calls tells, in seconds.
    double current(TimePoint now) const;
    // How much slower the running calls are than the finished ones.
    double slower(TimePoint now) const;

private:
    double m_finished = 0.0;
    // Sum of the start times of all running calls, in seconds.
    double m_startSum = 0.0;
    std::size_t m_running = 0;
};

} // namespace wisteriafork
