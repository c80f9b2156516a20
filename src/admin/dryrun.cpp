#include "admin/dryrun.h"

#include "core/config/callclassname.h"
#include "core/config/generator.h"

#include <algorithm>
#include <cstddef>

namespace wisteriafork {

namespace {

using nlohmann::json;

const OperationConfiguration *findOperation(const Configuration &configuration, const ServiceId &service, const OperationId &operation)
{
    for (const ServiceConfiguration &candidate : configuration.services) {
        if (candidate.id != service) {
            continue;
        }
        const auto found = std::find_if(candidate.operations.begin(), candidate.operations.end(),
                                        [&](const OperationConfiguration &each) { return each.id == operation; });
        return found != candidate.operations.end() ? &*found : nullptr;
    }
    return nullptr;
}

// Mean service time over the calls that ran locally, weighted by their rate; 0 if there was none.
double meanServiceSeconds(const ServiceId &service, const std::vector<OperationLoad> &load)
{
    double calls = 0;
    double busy = 0;
    for (const OperationLoad &each : load) {
        if (each.service == service && each.meanServiceTime.count() > 0) {
            calls += each.callsPerSecond;
            busy += each.callsPerSecond * std::chrono::duration<double>(each.meanServiceTime).count();
        }
    }
    return calls > 0 ? busy / calls : 0;
}

// Fills the classes from the highest down, as admission does under overload.
void estimateAdmission(ServiceEstimate &estimate)
{
    double left = estimate.capacityPerSecond.value_or(0);
    for (std::size_t index = estimate.callsPerSecond.size(); index-- > 0;) {
        const double offered = estimate.callsPerSecond[index];
        const double admitted = std::min(offered, left);
        estimate.admittedShare[index] = offered > 0 ? admitted / offered : 1;
        left -= admitted;
    }
}

ServiceEstimate estimateService(const ServiceConfiguration &service, const Configuration &configuration,
                                const std::optional<Configuration> &inForce, const std::vector<OperationLoad> &load)
{
    ServiceEstimate estimate{.service = service.id};
    for (const OperationLoad &each : load) {
        if (each.service != service.id) {
            continue;
        }
        const OperationConfiguration *operation = findOperation(configuration, service.id, each.operation);
        if (operation == nullptr) {
            estimate.unmatchedPerSecond += each.callsPerSecond;
            continue;
        }
        estimate.callsPerSecond[static_cast<std::size_t>(operation->callClass)] += each.callsPerSecond;
        const OperationConfiguration *before = inForce ? findOperation(*inForce, service.id, each.operation) : nullptr;
        if (before != nullptr && before->callClass != operation->callClass) {
            estimate.reclassifiedPerSecond += each.callsPerSecond;
        }
    }
    const double serviceSeconds = meanServiceSeconds(service.id, load);
    if (serviceSeconds > 0) {
        estimate.capacityPerSecond = service.slots / serviceSeconds;
        estimateAdmission(estimate);
    }
    return estimate;
}

json byClass(const std::array<double, 3> &values)
{
    json result = json::object();
    for (std::size_t index = 0; index < values.size(); ++index) {
        result[std::string(callClassName(static_cast<CallClass>(index)))] = values[index];
    }
    return result;
}

} // namespace

DryRun dryRun(std::string_view questionnaireText, const std::optional<Configuration> &inForce, const std::vector<OperationLoad> &load)
{
    DryRun result;
    GenerationResult generated = generateConfiguration(questionnaireText, inForce ? inForce->version : 1);
    result.findings = std::move(generated.findings);
    if (!generated.configuration) {
        return result;
    }
    result.valid = true;
    Configuration nothing;
    nothing.version = 1;
    result.changes = compareConfigurations(inForce ? *inForce : nothing, *generated.configuration);
    for (const ServiceConfiguration &service : generated.configuration->services) {
        result.services.push_back(estimateService(service, *generated.configuration, inForce, load));
    }
    return result;
}

json dryRunJson(const DryRun &result)
{
    json services = json::array();
    for (const ServiceEstimate &estimate : result.services) {
        json capacity;
        if (estimate.capacityPerSecond) {
            capacity = *estimate.capacityPerSecond;
        }
        services.push_back({{"service", estimate.service.value()},
                            {"callsPerSecond", byClass(estimate.callsPerSecond)},
                            {"reclassifiedPerSecond", estimate.reclassifiedPerSecond},
                            {"unmatchedPerSecond", estimate.unmatchedPerSecond},
                            {"capacityPerSecond", std::move(capacity)},
                            {"admittedShare", byClass(estimate.admittedShare)}});
    }
    return {{"valid", result.valid},
            {"findings", json::parse(findingsToJson(result.findings), nullptr, false)},
            {"changes", json::parse(changesToJson(result.changes), nullptr, false)},
            {"services", std::move(services)}};
}

} // namespace wisteriafork
