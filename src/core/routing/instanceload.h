#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/base/loadreport.h"

namespace wisteriafork {

// What a node knows of the load of one instance: its last report, and the calls that this node has sent since.
class InstanceLoad
{
public:
    InstanceLoad(NodeId instanceName, DomainId instanceDomain, Incarnation instanceIncarnation);

    void sent();
    void ended();
    void learn(const LoadReport &report, TimePoint now);
    void failed(TimePoint now);

    // Expected cost of one more call, in seconds: its wait for a slot and a share of its service time that grows with utilisation. The
    // report counts less the older it is; calls of this node that are in flight always count.
    double cost(TimePoint now, Duration halfLife) const;
    // Expected time of a call in the instance, in seconds.
    double expectedTime(TimePoint now, Duration halfLife) const;

    NodeId name;
    DomainId domain;
    Incarnation incarnation = 0;

private:
    double freshness(TimePoint now, Duration halfLife) const;
    double load(TimePoint now, Duration halfLife) const;

    LoadReport m_report;
    TimePoint m_reported;
    bool m_known = false;
    TimePoint m_failedAt;
    bool m_failed = false;
    double m_inFlight = 0.0;
    // Calls of this node that were in flight when the report arrived, which the report already counts.
    double m_inFlightAtReport = 0.0;
};

} // namespace wisteriafork
