#pragma once

#include "core/base/callclass.h"
#include "core/base/clock.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace wisteriafork::lab {

// A call that an operation makes to another service, by indexes into the specification.
struct CallSpec
{
    std::size_t service = 0;
    std::size_t operation = 0;
};

struct OperationSpec
{
    std::string id;
    CallClass callClass = CallClass::Read;
    bool idempotent = true;
    // Mean time of work in the server, without the calls.
    Duration work = std::chrono::milliseconds(20);
    // Calls made one after another, half-way through the work.
    std::vector<CallSpec> calls;
};

struct ServiceSpec
{
    std::string id;
    // One instance in each failure domain, this many times.
    std::size_t instancesPerDomain = 1;
    unsigned slots = 10;
    unsigned connections = 100;
    std::vector<OperationSpec> operations;
};

// An operation that callers use, with its share of the requests.
struct EntrySpec
{
    std::size_t service = 0;
    std::size_t operation = 0;
    double share = 1.0;
};

// A service call graph with the sizes of its platform.
struct GraphSpec
{
    std::string name;
    std::vector<std::string> domains;
    std::vector<ServiceSpec> services;
    std::vector<EntrySpec> entries;
    // One-way delays. Each message takes between one and two times the delay; of the messages between failure domains, some are lost and
    // sent again after the retransmission time.
    Duration localDelay = std::chrono::microseconds(250);
    Duration domainDelay = std::chrono::milliseconds(5);
    Duration callerDelay = std::chrono::milliseconds(1);
    double lossShare = 0.0005;
    Duration retransmission = std::chrono::milliseconds(200);
    // How long callers wait for an answer, and how long they keep sending a request again after its first send.
    Duration callerWait = std::chrono::seconds(10);
    Duration resendTime = std::chrono::seconds(10);
    // Time that an old client takes from a refusal to its next send: connect and write.
    Duration resendTurnaround = std::chrono::milliseconds(100);
};

// A chain of services, each of which calls the next; the last one is the bottleneck, and the others have slots for twice its capacity.
GraphSpec chainGraph(std::size_t depth);
// The services of the two users, with the sizes of the design's section 1.2.
GraphSpec agencyGraph();
GraphSpec hagenGraph();

// Requests per second that the graph carries at most: at the narrowest service, with the holding times of an idle graph.
double capacity(const GraphSpec &graph);
// Index of that service.
std::size_t bottleneck(const GraphSpec &graph);

} // namespace wisteriafork::lab
