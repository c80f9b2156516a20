#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace wisteriafork {

// Probes that wait for their answer. All have the same timeout, so they expire in the order in which they were sent.
class ProbeTracker
{
public:
    struct Pending
    {
        std::uint64_t number = 0;
        // Empty for a probe of a seed address.
        NodeId to;
        TimePoint deadline;
    };

    // Returns the number of the new probe.
    std::uint64_t start(const NodeId &to, TimePoint deadline);
    bool isPending(const NodeId &to) const;
    // Ends the probe; empty if it is not pending any more.
    std::optional<Pending> finish(std::uint64_t number);
    std::vector<Pending> takeExpired(TimePoint now);
    // Drops the probes of a peer that was reported unreachable, so that one lost connection does not count twice.
    void drop(const NodeId &to);
    // Drops all; used after a pause, when a missing answer says nothing about the peer.
    void clear();
    std::uint64_t nextNumber() const;

private:
    std::deque<Pending> m_pending;
    std::uint64_t m_next = 1;
};

} // namespace wisteriafork
