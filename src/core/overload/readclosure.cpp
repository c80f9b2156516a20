#include "core/overload/readclosure.h"

#include "core/overload/admissionlevel.h"

namespace wisteriafork {

void ReadClosure::learn(double scale, TimePoint now, const ReadClosureOptions &options)
{
    if (scale > CriticalOnlyScale) {
        // An instance admits reads: the grace time starts again, while the hold goes on.
        m_since = now;
        return;
    }
    if (!isClosed(now, options)) {
        m_since = now;
    }
    m_last = now;
    m_known = true;
}

bool ReadClosure::isClosed(TimePoint now, const ReadClosureOptions &options) const
{
    return options.enabled && isRecent(now, options.reportHold);
}

bool ReadClosure::isReported(TimePoint now, const ReadClosureOptions &options) const
{
    return options.enabled && isRecent(now, options.reportMemory);
}

bool ReadClosure::mayRefuseCritical(TimePoint now, const ReadClosureOptions &options) const
{
    return !options.enabled || (isClosed(now, options) && now - m_since >= options.grace);
}

bool ReadClosure::isFresh(TimePoint now, const ReadClosureOptions &options) const
{
    return !options.enabled || isRecent(now, options.freshness);
}

bool ReadClosure::isRecent(TimePoint now, Duration memory) const
{
    return m_known && now - m_last < memory;
}

} // namespace wisteriafork
