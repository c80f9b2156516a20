#include "lab/model/graphspec.h"

#include "lab/model/modelseconds.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork::lab {

namespace {

// Mean time of a call with all calls below, with links between failure domains on the way.
double holdingTime(const GraphSpec &graph, std::size_t service, std::size_t operation)
{
    const OperationSpec &spec = graph.services[service].operations[operation];
    double time = seconds(spec.work);
    for (const CallSpec &call : spec.calls) {
        time += holdingTime(graph, call.service, call.operation) + 3.0 * seconds(graph.localDelay);
    }
    return time;
}

// Slot seconds that one call needs of each service.
void addDemand(const GraphSpec &graph, std::size_t service, std::size_t operation, double share, std::vector<double> &demand)
{
    demand[service] += share * holdingTime(graph, service, operation);
    for (const CallSpec &call : graph.services[service].operations[operation].calls) {
        addDemand(graph, call.service, call.operation, share, demand);
    }
}

std::vector<double> capacities(const GraphSpec &graph)
{
    double shares = 0.0;
    for (const EntrySpec &entry : graph.entries) {
        shares += entry.share;
    }
    std::vector<double> demand(graph.services.size(), 0.0);
    for (const EntrySpec &entry : graph.entries) {
        addDemand(graph, entry.service, entry.operation, entry.share / shares, demand);
    }
    std::vector<double> result;
    for (std::size_t index = 0; index < graph.services.size(); ++index) {
        const ServiceSpec &service = graph.services[index];
        const double slots = static_cast<double>(service.slots * service.instancesPerDomain * graph.domains.size());
        result.push_back(demand[index] > 0.0 ? slots / demand[index] : 1e12);
    }
    return result;
}

OperationSpec operation(std::string id, CallClass callClass, int workMs, std::vector<CallSpec> calls = {})
{
    return {.id = std::move(id),
            .callClass = callClass,
            .idempotent = callClass != CallClass::Critical,
            .work = std::chrono::milliseconds(workMs),
            .calls = std::move(calls)};
}

} // namespace

GraphSpec chainGraph(std::size_t depth)
{
    constexpr unsigned bottleneckSlots = 10;
    constexpr int bottleneckWorkMs = 160;
    constexpr int workMs = 10;
    GraphSpec graph;
    graph.name = "chain-" + std::to_string(depth);
    graph.domains = {"osijek", "vukovar", "pozega", "vinkovci"};
    const char *const ids[] = {"download", "read", "book"};
    for (std::size_t level = 0; level < depth; ++level) {
        const bool last = level + 1 == depth;
        ServiceSpec service{.id = "level" + std::to_string(level + 1), .slots = bottleneckSlots, .connections = 170, .operations = {}};
        for (std::size_t index = 0; index < 3; ++index) {
            std::vector<CallSpec> calls;
            if (!last) {
                calls.push_back({.service = level + 1, .operation = index});
            }
            service.operations.push_back(operation(ids[index], static_cast<CallClass>(index), last ? bottleneckWorkMs : workMs, calls));
        }
        graph.services.push_back(service);
    }
    graph.entries = {{.service = 0, .operation = 0, .share = 0.15},
                     {.service = 0, .operation = 1, .share = 0.65},
                     {.service = 0, .operation = 2, .share = 0.2}};
    for (std::size_t level = 0; level + 1 < depth; ++level) {
        const double perSlot = holdingTime(graph, level, 1) / seconds(std::chrono::milliseconds(bottleneckWorkMs));
        graph.services[level].slots = static_cast<unsigned>(std::ceil(2.0 * bottleneckSlots * perSlot));
        graph.services[level].connections = 8 * graph.services[level].slots;
    }
    return graph;
}

GraphSpec agencyGraph()
{
    // inspekcija 0, dozrijevanje 1, registar 2, rezervacije 3.
    GraphSpec graph;
    graph.name = "agency";
    // Longer than in the chains, because the number of events grows with the rate of resends.
    graph.resendTurnaround = std::chrono::milliseconds(250);
    graph.domains = {"osijek", "vukovar", "pozega", "vinkovci"};
    graph.services = {
        {.id = "inspekcija", .slots = 10, .connections = 170, .operations = {operation("schedule", CallClass::Read, 40)}},
        {.id = "dozrijevanje",
         .slots = 50,
         .connections = 400,
         .operations = {operation("log", CallClass::Read, 30, {{.service = 0, .operation = 0}}), operation("status", CallClass::Read, 20)}},
        {.id = "registar",
         .slots = 50,
         .connections = 400,
         .operations
         = {operation("record", CallClass::Read, 30, {{.service = 1, .operation = 0}}), operation("shelf", CallClass::Read, 25)}},
        {.id = "rezervacije",
         .slots = 50,
         .connections = 400,
         .operations = {operation("book", CallClass::Critical, 40, {{.service = 2, .operation = 1}, {.service = 0, .operation = 0}}),
                        operation("list", CallClass::Read, 25, {{.service = 2, .operation = 1}})}},
    };
    graph.entries = {{.service = 2, .operation = 0, .share = 0.45},
                     {.service = 1, .operation = 0, .share = 0.15},
                     {.service = 0, .operation = 0, .share = 0.1},
                     {.service = 3, .operation = 1, .share = 0.15},
                     {.service = 3, .operation = 0, .share = 0.15}};
    return graph;
}

GraphSpec hagenGraph()
{
    // katalog 0, verksted 1, bestilling 2, monster 3.
    GraphSpec graph;
    graph.name = "hagen";
    graph.resendTurnaround = std::chrono::milliseconds(500);
    graph.domains = {"bryggen", "sandviken", "fana"};
    graph.domainDelay = std::chrono::microseconds(3500);
    graph.callerDelay = std::chrono::milliseconds(8);
    graph.services = {
        {.id = "katalog",
         .slots = 100,
         .connections = 750,
         .operations = {operation("browse", CallClass::Read, 120), operation("item", CallClass::Read, 60)}},
        {.id = "verksted",
         .slots = 35,
         .connections = 300,
         .operations
         = {operation("bench", CallClass::Read, 50), operation("repair", CallClass::Critical, 80, {{.service = 0, .operation = 1}})}},
        {.id = "bestilling",
         .slots = 100,
         .connections = 750,
         .operations = {operation("order", CallClass::Critical, 60, {{.service = 0, .operation = 1}, {.service = 1, .operation = 0}})}},
        {.id = "monster",
         .slots = 100,
         .connections = 750,
         .operations = {operation("pattern", CallClass::Bulk, 200, {{.service = 0, .operation = 1}})}},
    };
    graph.entries = {{.service = 0, .operation = 0, .share = 0.6},
                     {.service = 3, .operation = 0, .share = 0.15},
                     {.service = 2, .operation = 0, .share = 0.2},
                     {.service = 1, .operation = 1, .share = 0.05}};
    return graph;
}

double capacity(const GraphSpec &graph)
{
    const std::vector<double> all = capacities(graph);
    return *std::min_element(all.begin(), all.end());
}

std::size_t bottleneck(const GraphSpec &graph)
{
    const std::vector<double> all = capacities(graph);
    return static_cast<std::size_t>(std::min_element(all.begin(), all.end()) - all.begin());
}

} // namespace wisteriafork::lab
