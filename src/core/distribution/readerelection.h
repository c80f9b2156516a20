#pragma once

#include "core/base/clock.h"
#include "core/base/random.h"
#include "core/base/requestkey.h"
#include "core/distribution/distributionoptions.h"
#include "core/distribution/readerbeacon.h"
#include "core/membership/introduction.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace wisteriafork {

class Membership;

// Decides whether this node is one of the two readers of its failure domain. A node knows only a part of the members of its domain, so the
// rank in its own view does not suffice: readers send out beacons, and a node that knows two better readers does not read. After a cold
// start the waiting time grows with the distance to the first rank, so that the first beacons arrive before most nodes stand.
class ReaderElection
{
public:
    // Options and membership must outlive the election.
    ReaderElection(const DistributionOptions &options, const Membership &membership, RandomEngine random);

    // Takes a beacon. True if it names a reader that this node did not hold, and is to be passed on at once.
    bool offer(const ReaderBeacon &beacon, TimePoint now);
    // Decides again. True if this node took up or gave up reading.
    bool tick(TimePoint now);
    bool isReading() const;
    // Beacons to pass on, the own one among them; at most two.
    std::vector<ReaderBeacon> beacons() const;

private:
    struct Known
    {
        ReaderBeacon beacon;
        TimePoint grown;
    };

    bool outranksReader(const NodeId &first, const NodeId &second) const;
    bool isRetired(const ReaderBeacon &beacon) const;
    bool isGone(const Known &known, TimePoint now) const;
    void retire(TimePoint now);
    void takeUp(TimePoint now);
    std::size_t betterReaders() const;
    // Rank among the members of the own domain that this node knows, and their number.
    std::pair<std::size_t, std::size_t> rankInView() const;
    Duration standingDelay();

    const DistributionOptions &m_options;
    const Membership &m_membership;
    RequestKey m_key;
    RandomEngine m_random;
    // Best first, at most `KnownReaders`.
    std::vector<Known> m_known;
    // Readers that are gone, with their last count, so that copies of the beacon that still travel do not bring them back.
    std::deque<ReaderBeacon> m_retired;
    bool m_reading = false;
    TimePoint m_changed{};
    std::uint64_t m_count = 0;
    TimePoint m_nextCount{};
    std::optional<TimePoint> m_standAt;
};

} // namespace wisteriafork
