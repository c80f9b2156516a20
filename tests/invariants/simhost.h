#pragma once

#include "core/base/manualclock.h"
#include "core/node/nodecore.h"
#include "invariants/outcome.h"
#include "invariants/simserver.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace wisteriafork::test {

class SimFleet;

// One host: the core of its node, a shell that carries out the core's actions in virtual time, and a fake backend server. A paused node
// keeps what arrives and handles it when it resumes.
class SimHost
{
public:
    SimHost(SimFleet &fleet, std::size_t index, MemberInfo info, Duration clockOffset);

    void start();
    void kill(bool withServer);
    void drain();
    void pause(Duration duration);
    void pauseBeforeSend(Duration duration);

    // A call of a caller or of a peer reaches the node; returns its id. The reply is given at most once.
    CallId arrive(const Body &body, CallDescription call, const NodeId &from, ForwardMode mode, Reply reply);
    void arriveFromServer(const Body &body, const std::string &requestId, Reply reply);
    void senderGone(int life, CallId id);
    void handle(const Event &event);
    // Reads of the configuration service that are due.
    void poll();

    bool up() const;
    bool draining() const;
    // The core has drained and nothing is open any more, so that the process may exit, as the daemon does.
    bool mayExit() const;
    int life() const;
    const MemberInfo &info() const;
    SimServer &server();
    const NodeCore &core() const;
    // Start of the latest disturbance-free time: end of the last pause, start, cut or loss of the configuration service at this node.
    TimePoint steadySince() const;
    void disturb(TimePoint until);
    CallDescription describe(const Body &body, const std::string &requestId, Duration wait) const;

private:
    struct Call
    {
        Body body;
        CallDescription description;
        NodeId from;
        Reply reply;
        TimePoint arrived;
        // The core has been told of the call.
        bool known = false;
        bool closed = false;
        // Number of the attempt that is open; earlier ones are void.
        unsigned attempt = 0;
        bool attemptOpen = false;
        bool local = false;
        std::optional<Answer> answer;
        // Receiver of the open forward.
        SimHost *peer = nullptr;
        int peerLife = 0;
        CallId peerCall = 0;
    };

    void deliver(std::function<void()> work);
    void resume();
    void tick();
    void perform(const std::vector<Action> &actions);
    void checkVersion();
    bool endAttempt(CallId id, unsigned attempt);
    void expire(CallId id, unsigned attempt, Duration remaining, const Event &event);
    void forwardEnded(CallId id, unsigned attempt, const NodeId &peer, const Outcome &outcome);
    void forwardBroken(CallId id, unsigned attempt, const NodeId &peer, PeerFailure failure);
    void respond(CallId id, const Outcome &outcome);
    void checkRefusal(const Call &call, const RespondRefused &action);
    void checkAdmission(const Call &call);
    void checkLeaving(const Call &call);

    void on(const RunLocal &action);
    void on(const ForwardCall &action);
    void on(const RespondRefused &action);
    void on(const RelayAnswer &action);
    void on(const StoreAnswer &action);
    void on(const RespondStored &action);
    void on(const DropStoredAnswer &action);
    void on(const CancelLocal &action);
    void on(const CancelForward &action);
    void on(const SendPeerMessage &action);
    void on(const ReadPlatformValue &action);
    void on(const StartWatch &action);
    void on(const StopWatch &action);
    void on(const ScheduleWake &action);
    void on(const DrainComplete &action);
    template <typename T>
    void on(const T &)
    {
    }

    SimFleet &m_fleet;
    std::size_t m_index;
    MemberInfo m_info;
    Duration m_clockOffset;
    ManualClock m_clock;
    std::unique_ptr<NodeCore> m_core;
    SimServer m_server;
    int m_life = 0;
    bool m_up = false;
    bool m_paused = false;
    bool m_drained = false;
    std::optional<TimePoint> m_leavingSince;
    std::optional<Duration> m_pauseBeforeSend;
    std::vector<Action> m_held;
    std::deque<std::function<void()>> m_inbox;
    CallId m_nextCall = 1;
    std::map<CallId, Call> m_calls;
    std::map<RequestKey, Answer> m_stored;
    std::map<std::string, std::uint64_t> m_watches;
    TimePoint m_steadySince;
    std::uint64_t m_version = 0;
    std::optional<TimePoint> m_bookingRefused;
};

} // namespace wisteriafork::test
