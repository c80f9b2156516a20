#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace wisteriafork {

// Notices a pause of this process by a jump between ticks, and tells when the view has been refreshed after it. A start counts as a pause.
class ViewFreshness
{
public:
    ViewFreshness(Duration pauseThreshold, std::size_t answers, bool detectPause);

    // Returns the length of a pause that ended with this tick.
    std::optional<Duration> noteTick(TimePoint now);
    // The next tick will find a pause, so that what has timed out by now may be due to it.
    bool isPauseLikely(TimePoint now) const;
    // A peer answered a question asked after the pause, and has this version of the host lists.
    void noteAnswer(const NodeId &peer, std::uint64_t hostsVersion);
    void noteConfirmed();
    void setHostsVersion(std::uint64_t version);
    // Checks whether the view is fresh now, given the number of peers that could answer. True once for each refresh.
    bool becameFresh(std::size_t peers);
    bool isFresh() const;

private:
    Duration m_pauseThreshold;
    std::size_t m_answersNeeded;
    bool m_detectPause;
    std::optional<TimePoint> m_lastTick;
    bool m_fresh = false;
    bool m_confirmed = false;
    std::vector<NodeId> m_answered;
    std::uint64_t m_hostsVersion = 0;
    std::uint64_t m_reportedVersion = 0;
};

} // namespace wisteriafork
