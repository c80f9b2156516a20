#pragma once

#include "core/base/clock.h"
#include "core/base/random.h"
#include "core/distribution/distributionoptions.h"

#include <cstddef>

namespace wisteriafork {

class Membership;

// Times of the reads that a node without an index makes for itself. The configuration service serves about 2,000 reads a second, so of a
// fleet that starts cold at once only a few nodes may read, whatever its size. Two rules keep the others back until the index has reached
// them through peers: the first delays have a density that grows exponentially, so that the first reads of many nodes are as far apart as
// those of few; and a node that knows a peer of better rank leaves the first read to it.
class ColdRead
{
public:
    // Options and membership must outlive this object.
    ColdRead(const DistributionOptions &options, const Membership &membership, RandomEngine random);

    // Time from the start to the first read.
    Duration firstDelay();
    // True if a read that is due is left to a peer; `deferral()` gives the time until the next try.
    bool isDeferred(unsigned deferrals) const;
    Duration deferral();
    // Time after a read, by the number of reads made so far.
    Duration nextDelay(unsigned reads);
    // Time over which many nodes spread a read of values of an index with this many services.
    Duration spreadFor(std::size_t services) const;

private:
    const DistributionOptions &m_options;
    const Membership &m_membership;
    RandomEngine m_random;
};

} // namespace wisteriafork
