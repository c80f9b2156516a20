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

// Mean service time of the service on the local backend server, weighted by the rate of each operation; 0 if no call ran there.
double meanServiceSeconds(const ServiceId &service, const std::vector<OperationLoad> &load)
{
    double callsPerSecond = 0;
    double busySlots = 0;
    for (const OperationLoad &each : load) {
        if (each.service == service && each.meanServiceTime.count() > 0) {
            callsPerSecond += each.callsPerSecond;
            busySlots += each.callsPerSecond * std::chrono::duration<double>(each.meanServiceTime).count();
        }
    }
    return callsPerSecond > 0 ? busySlots / callsPerSecond : 0;
}

// Distributes the capacity to the classes from the highest down, as admission control does under overload.
void estimateAdmission(ServiceEstimate &estimate)
{
    double remainingPerSecond = estimate.capacityPerSecond.value_or(0);
    for (std::size_t index = estimate.callsPerSecond.size(); index-- > 0;) {
        const double offeredPerSecond = estimate.callsPerSecond[index];
        const double admittedPerSecond = std::min(offeredPerSecond, remainingPerSecond);
        estimate.admittedShare[index] = offeredPerSecond > 0 ? admittedPerSecond / offeredPerSecond : 1;
        remainingPerSecond -= admittedPerSecond;
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
        const OperationConfiguration *operationInForce = inForce ? findOperation(*inForce, service.id, each.operation) : nullptr;
        if (operationInForce != nullptr && operationInForce->callClass != operation->callClass) {
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

json classValuesJson(const std::array<double, 3> &values)
{
    json result = json::object();
    for (std::size_t index = 0; index < values.size(); ++index) {
        result[std::string(callClassName(static_cast<CallClass>(index)))] = values[index];
    }
    return result;
}

} // namespace

DryRun dryRunQuestionnaire(std::string_view questionnaireText, const std::optional<Configuration> &inForce,
                           const std::vector<OperationLoad> &load)
{
    DryRun result;
    GenerationResult generated = generateConfiguration(questionnaireText, inForce ? inForce->version : 1);
    result.findings = std::move(generated.findings);
    if (!generated.configuration) {
        return result;
    }
    result.valid = true;
    Configuration emptyConfiguration;
    emptyConfiguration.version = 1;
    result.changes = compareConfigurations(inForce ? *inForce : emptyConfiguration, *generated.configuration);
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
                            {"callsPerSecond", classValuesJson(estimate.callsPerSecond)},
                            {"reclassifiedPerSecond", estimate.reclassifiedPerSecond},
                            {"unmatchedPerSecond", estimate.unmatchedPerSecond},
                            {"capacityPerSecond", std::move(capacity)},
                            {"admittedShare", classValuesJson(estimate.admittedShare)}});
    }
    return {{"valid", result.valid},
            {"findings", json::parse(findingsToJson(result.findings), nullptr, false)},
            {"changes", json::parse(changesToJson(result.changes), nullptr, false)},
            {"services", std::move(services)}};
}

} // namespace wisteriafork
