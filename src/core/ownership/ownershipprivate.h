#pragma once

#include "core/ownership/claimsender.h"
#include "core/ownership/fenceprocess.h"
#include "core/ownership/joinprocess.h"
#include "core/ownership/ownership.h"
#include "core/ownership/ownerview.h"
#include "core/ownership/recordtable.h"
#include "core/ownership/releaseprocess.h"
#include "core/ownership/witnesstable.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wisteriafork {

// Composes the parts of the protocol. Calls are in ownershipcalls.cpp, records in ownershiprecords.cpp, messages in ownershipmessages.cpp.
class Ownership::Private
{
public:
    Private(OwnershipOptions options, const Clock &clock);

    // Inputs.
    void handle(const KeyedCall &call);
    void handle(const CallWithdrawn &call);
    void handle(const ExecutionFinished &execution);
    void handle(const ExecutionNotRun &execution);
    void handle(const ExecutionUnknown &execution);
    void handle(const ServiceListRead &input);
    void handle(const OwnershipMessageReceived &input);
    void handle(const MemberUnreachable &input);
    void handle(const OwnershipTick &input);
    void handle(const OwnershipWake &input);
    void handle(const StopRequested &input);

    // Messages.
    void receive(const NodeId &from, const OwnershipProbe &message);
    void receive(const NodeId &from, const Join &message);
    void receive(const NodeId &from, const JoinAcknowledged &message);
    void receive(const NodeId &from, const JoinRefused &message);
    void receive(const NodeId &from, const JoinCommitted &message);
    void receive(const NodeId &from, const JoinCommittedAcknowledged &message);
    void receive(const NodeId &from, const Claim &message);
    void receive(const NodeId &from, const ClaimAcknowledged &message);
    void receive(const NodeId &from, const ClaimRefused &message);
    void receive(const NodeId &from, const Fence &message);
    void receive(const NodeId &from, const FenceAcknowledged &message);
    void receive(const NodeId &from, const FenceRefused &message);
    void receive(const NodeId &from, const Release &message);
    void receive(const NodeId &from, const ReleaseAcknowledged &message);
    void receive(const NodeId &from, const CopyCheck &message);
    void receive(const NodeId &from, const CopyChecked &message);

    // Call before each input: refusals whose sending a pause may have delayed count from now.
    void noticePause();
    // Advances joins, fences and the release.
    void maintain();
    void sendClaims(bool tick);
    OwnershipOutputs takeOutputs();

    OwnerStage stage() const;
    bool excluded() const;
    const RecordTable &records() const;
    const WitnessTable &witnesses() const;

private:
    // Calls.
    void decideWithoutRecord(const KeyedCall &call);
    void decideByRecord(const KeyedCall &call, Record &record);
    void redirectBeforeJoin(const KeyedCall &call);
    void redirect(const KeyedCall &call, const MemberAddress &to);
    void hold(const KeyedCall &call);
    void retryHeldCalls();
    void refuse(CallId call, const RequestKey &key, RefusalKind kind, RefusalReason reason, Duration retryAfter = Duration{0});
    void wait(const KeyedCall &call, Record &record);
    void refuseWaiting(const RequestKey &key, Record &record, RefusalKind kind, RefusalReason reason, Duration retryAfter = Duration{0});
    void expireCalls();

    // Records.
    bool mayStartRuns() const;
    void claim(const RequestKey &key, Record &record);
    void claimed(const RequestKey &key, Record &record, std::uint64_t term, TimePoint sentAt);
    void tryRun(const RequestKey &key, Record &record);
    void checkCopies(const RequestKey &key, Record &record);
    void markUnknown(const RequestKey &key, Record &record);
    void take(const HandedRecord &handed, const MemberId &sender);
    void overwrite(const HandedRecord &handed, Record &record);
    HandedRecord hand(const RequestKey &key, const Record &record, HandedState state) const;
    std::vector<HandedRecord> recordsForJoiner(const MemberId &joiner);
    std::vector<HandedRecord> recordsForRelease();
    void forgetHolder(const MemberId &holder, const std::vector<HandedRecord> &except);
    Duration retentionInForce(Duration retention) const;

    // Membership.
    void becomeExcluded();
    void startTerm();
    void reclaim();
    bool allClaimed();
    void startFences();
    void advanceFences();
    void fenceAsWitness(const MemberId &target, FenceProcess &fence);
    void takeClaims(const MemberId &target, const std::vector<ClaimEntry> &claims);
    void startRelease();
    // True if no owner relies on this member as a witness any more.
    bool witnessDutyEnded() const;
    void introduceToStrangers();
    void send(const MemberAddress &to, OwnershipMessage message);
    void sendAll(OutgoingMessages messages);
    void reply(const NodeId &to, OwnershipMessage message);

    const OwnershipOptions m_options;
    const Clock &m_clock;
    const MemberId m_self;
    OwnerView m_view;
    RecordTable m_records;
    WitnessTable m_witnesses;
    ClaimSender m_claims;
    JoinProcess m_join;
    ReleaseProcess m_release;
    std::map<MemberId, FenceProcess> m_fences;
    std::map<MemberId, std::uint64_t> m_releasesSeen;
    bool m_leaving = false;
    bool m_excluded = false;
    bool m_reclaiming = false;
    bool m_finalRelease = false;
    bool m_releaseReported = false;
    TimePoint m_finalReleaseAt;
    std::size_t m_running = 0;
    // The wake that was asked for last.
    std::optional<TimePoint> m_wakeAt;
    TimePoint m_lastTick;
    TimePoint m_lastInput;
    ResendTimer m_introductionTimer;
    // Calls that wait at a record, and calls that wait for a join or a release.
    std::unordered_map<CallId, RequestKey> m_waiting;
    std::vector<KeyedCall> m_held;
    ExpiryQueue<CallId> m_callDeadlines;
    std::unordered_set<RequestKey> m_checking;
    OwnershipOutputs m_outputs;
};

} // namespace wisteriafork
