#include "admin/adminjson.h"

#include "core/base/refusalname.h"
#include "core/config/callclassname.h"

namespace wisteriafork {

namespace {

using nlohmann::json;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

json outcomeRowJson(const OutcomeRow &row)
{
    json refusals = json::array();
    for (const auto &[reason, count] : row.refusals) {
        refusals.push_back({{"reason", refusalReasonName(reason)}, {"count", count}});
    }
    return {{"service", row.key.service.value()},
            {"class", callClassName(row.key.callClass)},
            {"workspace", row.key.workspace.value()},
            {"completed", row.completed},
            {"failed", row.failed},
            {"refusals", std::move(refusals)},
            {"goodputPerSecond", row.goodputPerSecond},
            {"offeredPerSecond", row.offeredPerSecond},
            {"meanMs", seconds(row.meanTime) * 1000}};
}

} // namespace

json statusJson(const NodeStatus &status)
{
    return {{"name", status.name},
            {"service", status.service.value()},
            {"domain", status.domain.value()},
            {"peerAddress", status.peerAddress},
            {"programVersion", status.programVersion},
            {"uptimeSeconds", status.uptime.count()},
            {"draining", status.draining},
            {"drained", status.drained},
            {"requestsInFlight", status.requestsInFlight},
            {"configurationVersion", status.configurationVersion}};
}

json outcomesJson(const OutcomesReport &report)
{
    json rows = json::array();
    for (const OutcomeRow &row : report.rows) {
        rows.push_back(outcomeRowJson(row));
    }
    json overloads = json::array();
    for (const auto &[service, record] : report.lastOverloads) {
        overloads.push_back({{"service", service.value()},
                             {"ongoing", record.ongoing},
                             {"durationSeconds", seconds(record.duration)},
                             {"recoverySeconds", seconds(record.recoveryTime)},
                             {"latencyRecovered", record.latencyRecovered},
                             {"endedSecondsAgo", seconds(record.timeSinceEnd)}});
    }
    return {{"coveredSeconds", seconds(report.coveredTime)}, {"rows", std::move(rows)}, {"lastOverloads", std::move(overloads)}};
}

json instancesJson(const std::vector<Instance> &instances)
{
    json list = json::array();
    for (const Instance &instance : instances) {
        list.push_back({{"id", instance.id},
                        {"service", instance.service.value()},
                        {"domain", instance.domain.value()},
                        {"server", instance.address},
                        {"peers", instance.peerAddress},
                        {"slots", instance.slots},
                        {"draining", instance.draining}});
    }
    return {{"instances", std::move(list)}};
}

} // namespace wisteriafork
