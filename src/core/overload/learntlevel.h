#pragma once

#include "core/base/clock.h"
#include "core/overload/admissionlevel.h"
#include "core/overload/edgegateoptions.h"

namespace wisteriafork {

// Level of one operation of a service as a node has learnt it: a mean over the recent reports of its instances.
//
// If all calls of an operation are refused here, no report arrives for it. Then one call is let through in each hold interval, so that the
// level is learnt again. Opening the level by itself instead would let every node send resent requests to a service that is still
// overloaded.
class LearntLevel
{
public:
    // `memory` is the time over which reports are averaged.
    void learn(double scale, TimePoint now, Duration memory, const EdgeGateOptions &options);
    double scale(TimePoint now, const EdgeGateOptions &options) const;
    // True if a call that the level excludes is let through to learn the level again. Counts as that call.
    bool takeProbe(TimePoint now, const EdgeGateOptions &options);

private:
    double m_scale = FullScale;
    TimePoint m_learnt;
    TimePoint m_probed;
    bool m_known = false;
};

} // namespace wisteriafork
