#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/base/random.h"
#include "core/distribution/distributionoptions.h"
#include "core/distribution/distributionoutput.h"
#include "core/distribution/distributionstatus.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriafork {

class Membership;

// Brings the configuration and the host lists that one node needs into force, from the configuration service and from other nodes, and
// passes them on. One per node; no locks and no I/O. The caller passes each input as it arrives and `tick()` every 100 ms, after the tick
// of the membership, then takes the outputs with `takeOutputs()`.
class Distribution
{
public:
    // The membership must outlive this object; it gives the peers and the own introduction.
    Distribution(DistributionOptions options, const Membership &membership, const Clock &clock, RandomEngine random);
    ~Distribution();
    Distribution(const Distribution &) = delete;
    Distribution &operator=(const Distribution &) = delete;

    // A value of the configuration service was read, by a watch or a single read. `value` is the published text.
    void valueRead(const std::string &key, std::string_view value);
    // The configuration service could not be read, or does not have the key.
    void readFailed(const std::string &key);
    void handle(const NodeId &from, const DistributionMessage &message);
    // A message to the peer could not be delivered.
    void noteUnreachable(const NodeId &peer);
    // Adds a service whose slice and host list this node needs from now on.
    void require(const ServiceId &service);

    void tick();
    std::vector<DistributionOutput> takeOutputs();

    // True once everything needed is in force and the peers have been asked; never false again.
    bool isReady() const;
    // True while this node watches the configuration service for its failure domain.
    bool isReading() const;
    // Configuration version in force; zero before the first.
    const VersionStamp &inForce() const;
    DistributionStatus status() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
