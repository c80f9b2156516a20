#pragma once

#include "core/base/clock.h"
#include "core/overload/readclosureoptions.h"

namespace wisteriafork {

// Whether reads are closed on a path, as a node knows from load reports. One report of a level that admits critical calls only closes them,
// whatever the other instances report: a mean over instances would admit reads beside an instance that refuses critical calls.
class ReadClosure
{
public:
    void learn(double scale, TimePoint now, const ReadClosureOptions &options);

    bool isClosed(TimePoint now, const ReadClosureOptions &options) const;
    // True if the node's own reports are to say that reads are closed.
    bool isReported(TimePoint now, const ReadClosureOptions &options) const;
    // True if reads have been closed for the grace time, without a report of an instance that admits them.
    bool mayRefuseCritical(TimePoint now, const ReadClosureOptions &options) const;
    // True if the last strict report is recent enough to refuse a critical call before it reaches the serving node.
    bool isFresh(TimePoint now, const ReadClosureOptions &options) const;

private:
    bool isRecent(TimePoint now, Duration memory) const;

    TimePoint m_since;
    TimePoint m_last;
    bool m_known = false;
};

} // namespace wisteriafork
