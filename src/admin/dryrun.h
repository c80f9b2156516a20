#pragma once

#include "core/config/configuration.h"
#include "core/config/configurationdiff.h"
#include "core/config/findings.h"
#include "observability/recentload.h"

#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace wisteriafork {

// What a questionnaire would mean for one service under the recent load of this node.
struct ServiceEstimate
{
    ServiceId service;
    // Recent calls per second by their new class: bulk, read, critical.
    std::array<double, 3> callsPerSecond{};
    // Recent calls per second whose class changes.
    double reclassifiedPerSecond = 0;
    // Recent calls per second of operations that the questionnaire does not have any more.
    double unmatchedPerSecond = 0;
    // Calls per second that the slots of one instance carry at the recent service time. Empty if no call ran on the local backend server.
    std::optional<double> capacityPerSecond = {};
    // Share of the calls of each class that the capacity admits, highest class first. All 1 if the capacity is not known.
    std::array<double, 3> admittedShare{1, 1, 1};
};

struct DryRun
{
    Findings findings;
    // True if a configuration can be generated.
    bool valid = false;
    // Differences to the configuration in force, without the version.
    std::vector<ConfigurationChange> changes;
    std::vector<ServiceEstimate> services;
};

// Checks a questionnaire and estimates its effect without putting anything into force. The load is what this node saw: calls that it
// received, and service times of its own backend server.
DryRun dryRun(std::string_view questionnaireText, const std::optional<Configuration> &inForce, const std::vector<OperationLoad> &load);

nlohmann::json dryRunJson(const DryRun &result);

} // namespace wisteriafork
