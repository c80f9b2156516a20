#pragma once

#include "timing.h"

#include <cstdint>
#include <iosfwd>
#include <vector>

#include <rapidcheck.h>

namespace wisteriafork::test {

enum class FaultKind : std::uint8_t {
    Kill,
    KillAndRestart,
    // Planned stop, and a new incarnation after it.
    Replace,
    Pause,
    // Pause between the next decision of the node and its sending.
    PauseBeforeSend,
    Isolate,
    // Nothing reaches the node, but what it sends arrives.
    Deafen,
    // The two links between the node and its neighbour are cut.
    CutPair,
    // The host list drops the node although it is alive.
    WrongDrop,
    // The node gets no new host lists.
    FreezeList,
    // All nodes are killed and restarted.
    RestartAll,
};
constexpr int FaultKinds = 11;

// Times are in milliseconds after the fleet has settled.
struct Fault
{
    FaultKind kind = FaultKind::Kill;
    int at = 0;
    int node = 0;
    int duration = 0;
};

// One sending of a request by its client.
struct Copy
{
    int at = 0;
    int node = 0;
};

// One request: its copies are sent within the resend time after the first.
struct Request
{
    int at = 0;
    std::vector<Copy> copies;
};

struct Schedule
{
    int nodes = 4;
    std::uint64_t seed = 1;
    // Per mille of control messages lost, duplicated and late.
    int loss = 0;
    int duplicates = 0;
    int late = 0;
    // Per mille of runs refused before they start, and with unknown outcome.
    int notRun = 0;
    int unknown = 0;
    // Excluded members go on with a new incarnation.
    bool rejoins = true;
    // Longest time for which claims wait to share a message.
    int claimBatchMs = 5;
    int retentionMs = RetentionMs;
    // Bound on records of node 0.
    int maximumRecords = 100'000;
    std::vector<Fault> faults;
    std::vector<Request> requests;
};

std::ostream &operator<<(std::ostream &stream, const Schedule &schedule);

rc::Gen<Schedule> anySchedule();

} // namespace wisteriafork::test
