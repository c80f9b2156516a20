#include "admin/adminjson.h"

#include "core/base/refusalname.h"
#include "core/config/callclassname.h"
#include "core/config/findings.h"

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
    for (const auto &[what, count] : row.refusals) {
        refusals.push_back({{"kind", refusalKindName(what.first)}, {"reason", refusalReasonName(what.second)}, {"count", count}});
    }
    return {{"service", row.key.service.value()},
            {"class", callClassName(row.key.callClass)},
            {"tenant", row.key.tenant.value()},
            {"completed", row.completed},
            {"replayed", row.replayed},
            {"failed", row.failed},
            {"duplicatesSuppressed", row.duplicatesSuppressed},
            {"refusals", std::move(refusals)},
            {"goodputPerSecond", row.goodputPerSecond},
            {"offeredPerSecond", row.offeredPerSecond},
            {"meanMs", seconds(row.meanTime) * 1000}};
}

} // namespace

json statusJson(const NodeStatus &status)
{
    json serviceAge;
    if (status.configurationServiceAge) {
        serviceAge = status.configurationServiceAge->count();
    }
    return {{"name", status.self.name.value()},
            {"service", status.self.service.value()},
            {"domain", status.self.domain.value()},
            {"incarnation", status.self.incarnation},
            {"peerAddress", status.self.peerAddress},
            {"programVersion", status.programVersion},
            {"uptimeSeconds", status.uptime.count()},
            {"draining", status.draining},
            {"drained", status.drained},
            {"callsInFlight", status.callsInFlight},
            {"joined", status.joined},
            {"configuration",
             {{"version", status.configurationVersion},
              {"heldBack", json::parse(printFindings(status.heldBack), nullptr, false)},
              {"serviceAgeSeconds", std::move(serviceAge)}}}};
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
                             {"recoverySeconds", seconds(record.recovery)},
                             {"latencyRecovered", record.latencyRecovered},
                             {"endedSecondsAgo", seconds(record.endedAgo)}});
    }
    return {{"coveredSeconds", seconds(report.covered)}, {"rows", std::move(rows)}, {"lastOverloads", std::move(overloads)}};
}

json membersJson(const std::vector<MemberStatus> &members)
{
    json list = json::array();
    for (const MemberStatus &member : members) {
        list.push_back({{"name", member.info.name.value()},
                        {"incarnation", member.info.incarnation},
                        {"service", member.info.service.value()},
                        {"domain", member.info.domain.value()},
                        {"address", member.info.peerAddress},
                        {"listed", member.info.state == ListedState::Live ? "live" : "leaving"},
                        {"state", member.state}});
    }
    return {{"members", std::move(list)}};
}

} // namespace wisteriafork
