#pragma once

#include "daemon/actionexecutor.h"
#include "daemon/answerer.h"
#include "daemon/callreceiver.h"
#include "daemon/calltable.h"
#include "daemon/corerunner.h"
#include "daemon/forwarder.h"
#include "daemon/localrunner.h"
#include "daemon/peerreceiver.h"
#include "daemon/platformclient.h"
#include "daemon/settings.h"
#include "daemon/steadyclock.h"
#include "observability/eventlog.h"

#include <functional>
#include <memory>

namespace wisteriafork {

class TlsContext;

// The I/O around one `NodeCore`: receives calls and control messages, and carries out the core's actions. The listeners use its receivers
// as their handlers. Thread safe.
class NodeShell : private ActionExecutor
{
public:
    NodeShell(asio::io_context &context, const Settings &settings, const PeerOptions &peerOptions, EventLog &log);

    ServerHandler &callerHandler()
    {
        return m_callerReceiver;
    }

    ServerHandler &localHandler()
    {
        return m_localReceiver;
    }

    ServerHandler &peerHandler()
    {
        return m_peerReceiver;
    }

    CoreRunner &core()
    {
        return m_core;
    }

    // Passes the fixed host lists of the settings to the core.
    void start();
    // Ends attempts whose time is up. Called every few tens of milliseconds.
    void sweepDeadlines();
    CallStatistics &statistics()
    {
        return m_statistics;
    }

    std::size_t openCallCount() const
    {
        return m_calls.size();
    }

    // True while calls are not finished.
    bool hasOpenCalls() const;
    // True once the core has said that its drain is complete.
    bool isDrained() const;
    // Closes all connections that this node has opened.
    void stop();

private:
    void execute(const std::vector<Action> &actions, CallId call) override;
    void carryOut(const RunLocal &action);
    void carryOut(const ForwardCall &action);
    void carryOut(const RespondRefused &action);
    void carryOut(const RelayAnswer &action);
    void carryOut(const StoreAnswer &action);
    void carryOut(const RespondStored &action);
    void carryOut(const DropStoredAnswer &action);
    void carryOut(const CancelLocal &action);
    void carryOut(const CancelForward &action);
    void carryOut(const SendPeerMessage &action);
    void carryOut(const ReadPlatformValue &action);
    void carryOut(const StartWatch &action);
    void carryOut(const StopWatch &action);
    void carryOut(const RecordDecision &action);
    void carryOut(const RecordNotice &action);
    void carryOut(const ScheduleWake &action);
    void carryOut(const DrainComplete &action);

    asio::io_context &m_context;
    const Settings &m_settings;
    EventLog &m_log;
    SteadyClock m_clock;
    CallTable m_calls;
    CallStatistics m_statistics;
    CoreRunner m_core;
    Answerer m_answerer;
    LocalRunner m_localRunner;
    Forwarder m_forwarder;
    std::shared_ptr<PlatformClient> m_platform;
    CallReceiver m_callerReceiver;
    CallReceiver m_localReceiver;
    PeerReceiver m_peerReceiver;
    // Answered calls of the batch that is carried out; their records are removed after it.
    std::vector<CallId> m_answered;
    std::atomic<bool> m_drained = false;
};

} // namespace wisteriafork
