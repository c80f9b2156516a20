#pragma once

#include "core/base/clock.h"
#include "core/base/memberinfo.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wisteriafork {

// Mechanisms that keep a key from running twice. Tests switch one off to show that the check of that mechanism can fail; production code
// leaves all of them on.
struct OwnershipMechanisms
{
    bool claimAtWitness = true;
    bool fenceAtAllWitnesses = true;
    bool joinAcknowledgement = true;
    bool coldStartWait = true;
    bool retention = true;
    bool settleTime = true;
    bool copyCheck = true;
    bool releaseHandover = true;
    bool inheritedRecordsToJoiner = true;
    bool reclaimOnNewTerm = true;
    bool claimBeforeNotRun = true;
    bool claimSequence = true;
};

struct OwnershipOptions
{
    // This instance: name, incarnation, service, failure domain and peer address.
    MemberInfo self;
    // Incarnation of the process, which the host list names. It is lower than that of `self` after an excluded incarnation has been
    // replaced within the process; 0 if they are the same.
    Incarnation processIncarnation = 0;
    // Longest retention time of the service's operations.
    Duration maximumRetention{std::chrono::seconds(100)};
    Duration hostListLag{std::chrono::seconds(30)};
    // Silence of a witness after which an owner stops claiming.
    Duration isolationBound{std::chrono::hours(2)};
    // Time for which a key that was refused as `not-run` stays closed to copies that are still on their way to an edge node. It also covers
    // pauses too short to be noticed, 200 ms at the owner and 200 ms at the edge node.
    Duration settleTime{std::chrono::seconds(1)};
    // First resend interval of a message; it doubles up to the maximum.
    Duration resendInterval{std::chrono::milliseconds(200)};
    Duration maximumResendInterval{std::chrono::seconds(5)};
    // Longest time for which a claim waits for the answer to an earlier one, to share a message with others; 0 sends each at once.
    Duration claimBatchWindow{std::chrono::milliseconds(5)};
    // Interval at which an owner asks each of its witnesses whether it is still served.
    Duration witnessCheckInterval{std::chrono::seconds(5)};
    // Bound on records. At nine tenths new keys are refused `not-run`, at the bound `unknown`.
    std::size_t maximumRecords = 100'000;
    // Bound on the claims kept for other owners.
    std::size_t maximumWitnessRecords = 200'000;
    // Bound on the stored answers; the oldest are dropped first.
    std::uint64_t maximumAnswerBytes = 32U << 20U;
    // Bound on calls that wait for a claim, a join or a running attempt.
    std::size_t maximumWaitingCalls = 10'000;
    OwnershipMechanisms mechanisms;
};

} // namespace wisteriafork
