#pragma once

#include "core/base/clock.h"
#include "core/overload/admissionlevel.h"
#include "core/overload/edgegateoptions.h"

namespace wisteriafork {

// Level of one operation of a service as a node has learnt it: a mean over the recent reports of its instances. Without reports it opens,
// so that a service whose callers are all refused is tried again.
class LearntLevel
{
public:
    void learn(double scale, TimePoint now, const EdgeGateOptions &options);
    double scale(TimePoint now, const EdgeGateOptions &options) const;

private:
    double m_scale = FullScale;
    TimePoint m_learnt;
    bool m_known = false;
};

} // namespace wisteriafork
