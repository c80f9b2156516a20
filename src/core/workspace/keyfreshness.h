#pragma once

#include "core/admission/verdict.h"
#include "core/base/clock.h"

#include <optional>

namespace wisteriafork {

// Refuses requests with keys while the node has no recent proof that its configuration is the newest one: a key may have been withdrawn in
// the meantime, and must not be accepted longer than a bound, also by a node that has lost the source of the configuration or was
// suspended. Answers the loss of the source for the node or for all nodes. Not thread safe.
class KeyFreshness
{
public:
    // `bound` is the time for which a withdrawn key may still be accepted. `clock` must count the time for which the host is suspended, and
    // must outlive the object.
    KeyFreshness(Duration bound, const Clock &clock);

    // The configuration in force was the newest one when the source was asked at this time.
    void confirm(TimePoint askedAt);
    // The newest configuration cannot be used, so that the one in force is not the newest any more.
    void invalidate();
    // Checks a request that is handled now.
    Verdict check() const;

private:
    const Duration m_bound;
    const Clock &m_clock;
    std::optional<TimePoint> m_confirmedAt;
};

} // namespace wisteriafork
