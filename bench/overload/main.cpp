#include "lab/model/model.h"

#include <cstdio>
#include <cstdlib>
#include <string>

using namespace wisteriafork;
using namespace wisteriafork::lab;
using std::chrono::seconds;

int main(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "4";
    const bool pass = argc > 2 && std::string(argv[2]) == "pass";
    GraphSpec graph = name == "agency" ? agencyGraph() : name == "hagen" ? hagenGraph() : chainGraph(std::strtoul(name.c_str(), nullptr, 10));
    if (argc > 3) {
        graph.resendTime = seconds(std::strtol(argv[3], nullptr, 10));
    }
    const double most = capacity(graph);
    CallerLoad load{.baseRate = 0.7 * most, .surgeRate = 3 * most, .surgeStart = seconds(20), .surgeEnd = seconds(50)};
    Model model(graph, pass ? passThroughOptions() : ModelOptions{}, load, 1);
    const ModelMetrics &metrics = model.run(seconds(80));
    std::printf("capacity %.1f bottleneck %s\n", most, graph.services[bottleneck(graph)].id.c_str());
    for (int t = 0; t < 80; t += 2) {
        const ModelInterval i = sum(metrics, seconds(t), seconds(t + 2));
        std::printf("%2d good %.3f lat %.3f sends %lu edge %lu ampl %.3f shed %lu/%lu crit %lu/%lu waste %.3f q %lu\n", t, i.complete / 2.0 / most,
                    i.complete ? i.latency / i.complete : 0, i.sends, i.refusedAtEdge, i.firstRuns ? double(i.runs) / i.firstRuns : 0, i.internalShed,
                    i.internalCalls, i.criticalsRefusedBesideReads, i.criticalsRefused, i.work > 0 ? i.wasted / i.work : 0, i.queued);
    }
    std::printf("events %lu mostAtPlace %lu mostOfSend %lu\n", metrics.events, metrics.mostRunsAtPlace, metrics.mostRunsOfSend);
}
