#pragma once

#include "admin/administrationsource.h"

#include <atomic>

namespace wisteriafork {

// Administration source with fixed data, apart from the draining state that `drain` and `undrain` set.
class FakeSource : public AdministrationSource
{
public:
    NodeStatus status() const override
    {
        return {.name = "registar-osijek-1",
                .service = ServiceId("registar"),
                .domain = DomainId("osijek"),
                .peerAddress = "127.0.0.1:7101",
                .programVersion = "0.1.0",
                .draining = draining,
                .drained = draining && drainCompletes,
                .configurationVersion = 5};
    }

    OutcomesReport outcomes() const override
    {
        OutcomesReport report;
        report.coveredTime = std::chrono::minutes(2);
        for (const char *workspace : {"growers", "inspectors"}) {
            OutcomeRow row;
            row.key = {.service = ServiceId("registar"), .callClass = CallClass::Critical, .workspace = WorkspaceId(workspace)};
            row.completed = 41;
            row.refusals[RefusalReason::Overloaded] = 2;
            row.goodputPerSecond = 12.34;
            report.rows.push_back(row);
        }
        report.lastOverloads[ServiceId("registar")]
            = {.duration = std::chrono::seconds(30), .recoveryTime = std::chrono::seconds(4), .timeSinceEnd = std::chrono::seconds(60)};
        return report;
    }

    std::vector<Instance> instances() const override
    {
        return {{.id = "registar-osijek-1",
                 .service = ServiceId("registar"),
                 .address = "127.0.0.1:9000",
                 .peerAddress = "127.0.0.1:7101",
                 .domain = DomainId("osijek"),
                 .slots = 50}};
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
