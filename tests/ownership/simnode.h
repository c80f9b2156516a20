#pragma once

#include "core/base/manualclock.h"
#include "core/ownership/opencopies.h"
#include "core/ownership/ownership.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace wisteriafork::test {

class Fleet;

// A call on its way between nodes.
struct SimCall
{
    RequestKey key;
    // Node that the client sent the copy to, and its call id there.
    int edge = 0;
    CallId edgeCall = 0;
    int hops = 0;
};

// What a call ended with.
struct SimOutcome
{
    // Key of the answer; empty for a refusal.
    std::optional<RequestKey> answer;
    std::optional<Refusal> refusal;
};

// One host with its process: a thin shell around `Ownership` with a clock of its own. A paused process handles nothing; what arrives
// meanwhile is handled late.
class SimNode
{
public:
    SimNode(Fleet &fleet, int index, MemberInfo info, Duration clockOffset);

    void start(Incarnation incarnation);
    void kill();
    void stop();
    // Goes on with a new incarnation of the ownership in the same process; the host list keeps the incarnation of the process.
    void rejoin();
    void pause(Duration duration);
    // Pauses before the next output is carried out.
    void pauseBeforeSend(Duration duration);
    bool up() const;
    bool leaving() const;
    const MemberInfo &info() const;
    Ownership &ownership();

    // Work for the process; dropped if it is down.
    void deliver(std::function<void()> work);
    void readList(const HostList &list);
    void receive(const NodeId &from, const std::shared_ptr<const OwnershipMessage> &message);
    void clientCall(const RequestKey &key);
    void forwardedCall(const SimCall &call);
    void edgeOutcome(CallId edgeCall, const SimOutcome &outcome);

private:
    void tick();
    void resume();
    void handle(const OwnershipInput &input);
    void carryOut();
    void forward(int to, const SimCall &call);
    void decide(CallId id, const SimCall &call);
    void finish(CallId id, const SimOutcome &outcome);
    void startExecution(const RunKey &run);
    void execute(const RunKey &run);

    void output(const RunKey &run);
    void output(const WaitForAttempt &wait);
    void output(const ReplayAnswer &replay);
    void output(const RefuseCall &refuse);
    void output(const RedirectCall &redirect);
    void output(const SendOwnershipMessage &send);
    void output(const KeepAnswer &keep);
    void output(const DropAnswer &drop);
    void output(const WakeOwnership &wake);
    void output(const OwnershipReleased &released);
    void output(const OwnershipExcluded &excluded);

    Fleet &m_fleet;
    int m_index;
    MemberInfo m_info;
    Incarnation m_ownerIncarnation = 0;
    Duration m_clockOffset;
    ManualClock m_clock;
    std::unique_ptr<Ownership> m_ownership;
    std::unique_ptr<OpenCopies> m_copies;
    HostList m_list;
    bool m_up = false;
    bool m_leaving = false;
    // Counts starts; work of an earlier life is dropped.
    std::uint64_t m_life = 0;
    TimePoint m_pausedUntil{};
    bool m_paused = false;
    std::optional<Duration> m_pauseBeforeSend;
    std::deque<std::function<void()>> m_inbox;
    std::deque<OwnershipOutput> m_pending;
    CallId m_nextCall = 0;
    std::unordered_map<CallId, SimCall> m_calls;
    std::set<RequestKey> m_answers;
};

} // namespace wisteriafork::test
