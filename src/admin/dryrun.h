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

// Estimated effect of a questionnaire on one service under the recent load of this node.
struct ServiceEstimate
{
    ServiceId service;
    // Recent calls per second by their class under the questionnaire, in the order bulk, read, critical.
    std::array<double, 3> callsPerSecond{};
    // Recent calls per second whose class differs from the configuration in force.
    double reclassifiedPerSecond = 0;
    // Recent calls per second of operations that are not in the questionnaire.
    double unmatchedPerSecond = 0;
    // Calls per second that the slots of one instance can serve at the recent mean service time. Empty if no call ran on the local backend
    // server.
    std::optional<double> capacityPerSecond = {};
    // Share of the calls of each class that fits into the capacity when higher classes are admitted first; in the order of
    // `callsPerSecond`. All 1 if the capacity is unknown.
    std::array<double, 3> admittedShare{1, 1, 1};
};

// Result of checking a questionnaire.
struct DryRun
{
    // Errors and warnings about the questionnaire.
    Findings findings;
    // True if a configuration can be generated. Otherwise the fields below are empty.
    bool valid = false;
    // Differences from the configuration in force, apart from the version. Compared with an empty configuration if none is in force.
    std::vector<ConfigurationChange> changes;
    std::vector<ServiceEstimate> services;
};

// Checks a questionnaire and estimates its effect without changing the configuration in force. `load` is the load that this node measured:
// the calls that it received and the service times of its own backend server.
DryRun dryRunQuestionnaire(std::string_view questionnaireText, const std::optional<Configuration> &inForce,
                           const std::vector<OperationLoad> &load);

// Body of the response to /v1/questionnaire/dry-run, as described in openapi.json.
nlohmann::json dryRunJson(const DryRun &result);

} // namespace wisteriafork
