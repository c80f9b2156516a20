#include "overload/scenario.h"

#include "lab/model/model.h"

#include <algorithm>

namespace wisteriafork::bench {

using namespace wisteriafork::lab;
using std::chrono::seconds;

namespace {

constexpr Duration FaultStart = seconds(30);
constexpr Duration SurgeLength = seconds(30);
constexpr Duration SlowLength = seconds(20);
constexpr Duration RestOfRun = seconds(25);
// Earlier values are taken from this long before the fault: the start of the run is cold.
constexpr Duration Before = seconds(10);
// Recovery is looked for in windows of this length; shorter ones vary by more than 5 % by chance.
constexpr Duration RecoveryWindow = seconds(5);
constexpr double BaseLoad = 0.7;
constexpr double SurgeLoad = 3.0;
constexpr double SlowFactor = 10.0;
constexpr double Tolerance = 0.05;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double perCount(double amount, std::uint64_t count)
{
    return count == 0 ? 0.0 : amount / static_cast<double>(count);
}

double latencyOf(const ModelInterval &part)
{
    return perCount(part.latency, part.complete);
}

double shareOf(const ModelInterval &part)
{
    return perCount(static_cast<double>(part.complete), part.begun);
}

Duration recoveryTime(const ModelMetrics &metrics, Duration faultEnd, const ModelInterval &before)
{
    for (Duration start = faultEnd; start + RecoveryWindow <= faultEnd + RestOfRun; start += metrics.interval) {
        const ModelInterval window = sum(metrics, start, start + RecoveryWindow);
        const bool goodputBack = shareOf(window) >= shareOf(before) * (1.0 - Tolerance);
        const bool latencyBack = window.complete > 0 && latencyOf(window) <= latencyOf(before) * (1.0 + Tolerance);
        if (goodputBack && latencyBack) {
            return start - faultEnd;
        }
    }
    return RestOfRun;
}

std::size_t largestTree(const GraphSpec &graph, std::size_t service, std::size_t operation)
{
    std::size_t size = 1;
    for (const CallSpec &call : graph.services[service].operations[operation].calls) {
        size += largestTree(graph, call.service, call.operation);
    }
    return size;
}

Scenario scenarioOf(const std::string &name, const GraphSpec &graph, Fault fault, bool passThrough)
{
    Scenario scenario;
    scenario.name = graph.name + " " + name;
    scenario.graph = graph;
    scenario.fault = fault;
    scenario.passThrough = passThrough;
    scenario.options = passThrough ? passThroughOptions() : ModelOptions{};
    return scenario;
}

} // namespace

std::vector<Scenario> allScenarios(bool shortVersion)
{
    std::vector<Scenario> scenarios;
    std::vector<GraphSpec> graphs{chainGraph(4), agencyGraph()};
    if (shortVersion) {
        for (GraphSpec &graph : graphs) {
            // Fewer events, so that the check also fits into the sanitizer builds.
            graph.resendTurnaround = std::chrono::milliseconds(1000);
        }
    } else {
        graphs = {chainGraph(4), chainGraph(8), chainGraph(27), agencyGraph(), hagenGraph()};
    }
    for (const GraphSpec &graph : graphs) {
        for (const bool passThrough : {true, false}) {
            if (passThrough && shortVersion) {
                continue;
            }
            scenarios.push_back(scenarioOf("surge", graph, Fault::Surge, passThrough));
            scenarios.push_back(scenarioOf("slow", graph, Fault::SlowService, passThrough));
        }
    }
    if (shortVersion) {
        return scenarios;
    }
    for (const LoadEndpoint mode : {LoadEndpoint::AlwaysIdle, LoadEndpoint::AlwaysFull}) {
        const std::string name = mode == LoadEndpoint::AlwaysIdle ? "surge, endpoints idle" : "surge, endpoints full";
        for (const GraphSpec &graph : {chainGraph(4), agencyGraph()}) {
            Scenario scenario = scenarioOf(name, graph, Fault::Surge, false);
            scenario.loadEndpoint = mode;
            scenarios.push_back(scenario);
        }
    }
    GraphSpec patient = chainGraph(4);
    patient.resendTime = seconds(60);
    for (const bool passThrough : {true, false}) {
        scenarios.push_back(scenarioOf("surge, resend 60 s", patient, Fault::Surge, passThrough));
    }
    return scenarios;
}

ScenarioResult run(const Scenario &scenario)
{
    const double most = capacity(scenario.graph);
    const Duration length = scenario.fault == Fault::Surge ? SurgeLength : SlowLength;
    const Duration faultEnd = FaultStart + length;
    CallerLoad load{.baseRate = BaseLoad * most, .surgeRate = BaseLoad * most, .surgeStart = FaultStart, .surgeEnd = faultEnd};
    if (scenario.fault == Fault::Surge) {
        load.surgeRate = SurgeLoad * most;
    }
    Model model(scenario.graph, scenario.options, load, scenario.seed);
    model.setLoadEndpoints(scenario.loadEndpoint);
    if (scenario.fault == Fault::SlowService) {
        const std::size_t slow = bottleneck(scenario.graph);
        model.at(FaultStart, [slow](Model &running) { running.slowDown(slow, SlowFactor); });
        model.at(faultEnd, [slow](Model &running) { running.slowDown(slow, 1.0); });
    }
    ScenarioResult result;
    result.metrics = model.run(faultEnd + RestOfRun);
    const ModelInterval before = sum(result.metrics, FaultStart - Before, FaultStart);
    const ModelInterval during = sum(result.metrics, FaultStart, faultEnd);
    const ModelInterval all = sum(result.metrics, FaultStart, faultEnd + RestOfRun);
    result.name = scenario.name;
    result.policy = scenario.passThrough ? "pass-through" : "today";
    result.capacity = most;
    result.goodput = scenario.fault == Fault::Surge ? static_cast<double>(during.complete) / toSeconds(length) / most : shareOf(during);
    result.recoverySeconds = toSeconds(recoveryTime(result.metrics, faultEnd, before));
    result.callerWaitSeconds = toSeconds(scenario.graph.callerWait);
    result.latencyBefore = latencyOf(before);
    result.latencyDuring = latencyOf(during);
    result.attempts = perCount(static_cast<double>(during.runs), during.firstRuns);
    result.mostRunsAtPlace = result.metrics.mostRunsAtPlace;
    result.mostRunsOfSend = result.metrics.mostRunsOfSend;
    for (const EntrySpec &entry : scenario.graph.entries) {
        result.largestTree = std::max(result.largestTree, largestTree(scenario.graph, entry.service, entry.operation));
    }
    result.criticalsRefused = all.criticalsRefused;
    result.criticalsRefusedBesideReads = all.criticalsRefusedBesideReads;
    result.internalShedShare = perCount(static_cast<double>(all.internalShed), all.internalCalls);
    result.wastedShare = all.work > 0.0 ? all.wasted / all.work : 0.0;
    result.events = result.metrics.events;
    return result;
}

} // namespace wisteriafork::bench
