#pragma once

#include "admin/administrationsource.h"

#include <atomic>

namespace wisteriafork {

// Administration source with fixed data that records what it is asked to do.
class FakeSource : public AdministrationSource
{
public:
    NodeStatus status() const override
    {
        NodeStatus status;
        status.self = {.name = NodeId("registar-osijek-1"),
                       .incarnation = 7,
                       .service = ServiceId("registar"),
                       .domain = DomainId("osijek"),
                       .peerAddress = "127.0.0.1:7101"};
        status.programVersion = "0.1.0";
        status.draining = draining;
        status.drained = draining && drainCompletes;
        status.heldBack = {{.severity = Severity::Error, .pointer = "/slots", .line = 0, .message = "expected a number"}};
        status.configurationServiceAge = std::chrono::seconds(3);
        return status;
    }

    OutcomesReport outcomes() const override
    {
        OutcomesReport report;
        report.covered = std::chrono::minutes(2);
        for (const char *tenant : {"growers", "inspectors"}) {
            OutcomeRow row;
            row.key = {.service = ServiceId("registar"), .callClass = CallClass::Critical, .tenant = TenantId(tenant)};
            row.completed = 41;
            row.refusals[{RefusalKind::NotRun, RefusalReason::Overloaded}] = 2;
            row.goodputPerSecond = 12.34;
            report.rows.push_back(row);
        }
        report.lastOverloads[ServiceId("registar")]
            = {.duration = std::chrono::seconds(30), .recovery = std::chrono::seconds(4), .endedAgo = std::chrono::seconds(60)};
        return report;
    }

    std::vector<MemberStatus> members() const override
    {
        return {{.info = status().self, .state = "live"}};
    }

    std::optional<Configuration> configuration() const override
    {
        return inForce;
    }

    std::vector<OperationLoad> recentLoad() const override
    {
        return {
            {.service = ServiceId("registar"),
             .operation = OperationId("read-record"),
             .callsPerSecond = 4000,
             .meanServiceTime = std::chrono::milliseconds(25)},
            {.service = ServiceId("registar"), .operation = OperationId("renamed"), .callsPerSecond = 1, .meanServiceTime = Duration(0)}};
    }

    std::string metricsText() const override
    {
        return "wisteriafork_draining 0\n";
    }

    void drain() override
    {
        draining = true;
    }

    void undrain() override
    {
        draining = false;
    }

    std::atomic<bool> draining{false};
    std::atomic<bool> drainCompletes{true};
    std::optional<Configuration> inForce;
};

} // namespace wisteriafork
