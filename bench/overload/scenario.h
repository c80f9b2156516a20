#pragma once

#include "lab/model/graphspec.h"
#include "lab/model/modelmetrics.h"
#include "lab/model/modelnode.h"
#include "lab/model/modeloptions.h"

#include <cstdint>
#include <string>

namespace wisteriafork::bench {

// What goes wrong in a run.
enum class Fault : std::uint8_t {
    // Callers send 3 times what the narrowest service carries, for 30 s.
    Surge,
    // The narrowest service is slowed tenfold for 20 s.
    SlowService,
};

struct Scenario
{
    std::string name;
    lab::GraphSpec graph;
    Fault fault = Fault::Surge;
    lab::LoadEndpoint loadEndpoint = lab::LoadEndpoint::Honest;
    bool passThrough = false;
    lab::ModelOptions options;
    std::uint64_t seed = 20261204;
};

// Figures of one run, as they are compared with the bounds of the design's section 1.8.
struct ScenarioResult
{
    std::string name;
    std::string policy;
    // Requests per second that the narrowest service carries.
    double capacity = 0.0;
    // Complete requests during the fault, as a share of the capacity (surge) or of the requests begun (slow service).
    double goodput = 0.0;
    // Time from the end of the fault until goodput and latency are back within 5 %; the length of the rest of the run if they are not.
    double recoverySeconds = 0.0;
    double callerWaitSeconds = 0.0;
    double latencyBefore = 0.0;
    double latencyDuring = 0.0;
    // Backend server runs per place of the call tree that was reached, during the fault.
    double attempts = 0.0;
    std::uint64_t mostRunsAtPlace = 0;
    std::uint64_t mostRunsOfSend = 0;
    std::size_t largestTree = 0;
    std::uint64_t criticalsRefused = 0;
    std::uint64_t criticalsRefusedBesideReads = 0;
    double internalShedShare = 0.0;
    double wastedShare = 0.0;
    std::uint64_t events = 0;
    lab::ModelMetrics metrics;
};

// Names and settings of all runs: both policies on all graphs, or the few with fixed seeds that the regression check runs.
std::vector<Scenario> allScenarios(bool shortVersion);

ScenarioResult run(const Scenario &scenario);

} // namespace wisteriafork::bench
