#pragma once

#include "core/distribution/distribution.h"
#include "core/node/event.h"
#include "core/node/keyedcalls.h"
#include "core/node/nodeparts.h"

namespace wisteriafork {

// Membership, host lists and configuration of the node: passes their inputs in and carries out what they ask for.
class ControlPlane
{
public:
    ControlPlane(NodeParts &parts, KeyedCalls &keyed);

    void on(const PeerMessageReceived &event);
    void on(const PeerUnreachable &event);
    void on(const HostListRead &event);
    void on(const PlatformValueRead &event);
    void on(const PlatformReadFailed &event);
    void tick();
    void drain();
    void undrain();

    // Takes a configuration into force.
    void apply(Configuration configuration);

    DistributionStatus status() const
    {
        return m_distribution.status();
    }

private:
    void carryOut();
    void on(const SendMembershipMessage &output);
    void on(const MemberStateChanged &output);
    void on(const PauseDetected &output);
    void on(const ViewRefreshed &output);
    void on(const DomainSilenceChanged &output);
    void on(const SendDistributionMessage &output);
    void on(const StartValueWatch &output);
    void on(const StopValueWatch &output);
    void on(const ReadValue &output);
    void on(const ConfigurationChanged &output);
    void on(const HostListChanged &output);
    void on(const HostListDropped &output);
    void on(const HostsVersionReached &output);
    void on(const ValueHeldBack &output);
    void on(const VersionConflict &output);
    void on(const BecameReady &output);

    void takeHostList(const HostList &list);
    void updateRouter(const ServiceId &service);
    // Failure domain of an instance; empty if it is not listed.
    DomainId domainOf(const NodeId &name) const;
    void sendCrashReports();

    NodeParts &m_parts;
    KeyedCalls &m_keyed;
    Distribution m_distribution;
};

} // namespace wisteriafork
