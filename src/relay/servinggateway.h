#pragma once

#include "net/requestsender.h"
#include "relay/attemptoutcome.h"
#include "relay/relayparts.h"
#include "relay/relayrequest.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

namespace wisteriafork {

// Executes requests of this node and of other nodes on the local backend server, in the order that the serving queue decides.
class ServingGateway
{
public:
    // Both must outlive the object; `server` sends to the local backend server.
    ServingGateway(RelayParts &parts, RequestSender &server);

    // Queues, starts or refuses the request. The handler is called exactly once, never before this function returns, unless the request is
    // cancelled. Returns the id for `cancel`.
    CallId serve(RelayRequest request, AttemptHandler handler);
    // Cancels a request; its handler is not called afterwards. A queued request never starts. A running one is aborted if it is idempotent;
    // otherwise it completes, or ends shortly after its deadline, and its response is discarded.
    void cancel(CallId id);
    // Refuses the queued requests of the node at this address that may last beyond `end`, the end of its process.
    void withdraw(const std::string &sender, TimePoint end);
    // Refuses the queued requests that may last beyond the end of this process. Their senders choose other instances. Returns
    // their number.
    std::size_t refuseWaiting();
    // Starts or refuses queued requests as the queue decides. Call every 20 ms.
    void pollQueue();
    // Updates the pressure, refuses queued requests for instances that are draining, and ends running ones that are overdue. Call every
    // 100 ms.
    void tick();

    bool isIdle() const
    {
        return m_calls.empty();
    }

    std::size_t openCallCount() const
    {
        return m_calls.size();
    }

private:
    struct Call
    {
        RelayRequest request;
        AttemptHandler handler;
        std::shared_ptr<ClientExchange> exchange;
        TimePoint startTime;
        bool running = false;
    };

    // True if the instance is draining or no longer listed: requests that it has not started are sent to other instances.
    bool isLeaving(const std::string &instance) const;
    // Refuses the queued requests that `isConcerned` selects. Returns their number.
    std::size_t refuseQueuedCalls(NotExecutedReason reason, const std::function<bool(const RelayRequest &)> &isConcerned);
    // Aborts running requests that the backend server should have answered by their deadline.
    void abortOverdueCalls();
    // Closes the connection of a running request and gives back what it holds, without calling its handler.
    void abortRunningCall(CallId id, const Call &call);
    // Sends a request that the queue has started to the backend server, or refuses it if the crash guard does not let it run.
    void startCall(CallId id);
    // True if a banned fingerprint may be tried on this instance.
    bool isTrialInstance(const std::string &instance, const RequestKey &fingerprint) const;
    void onServerResult(CallId id, tl::expected<HttpResponse, ExchangeError> result);
    // Checks with a new connection whether the backend server has crashed, if connections that broke leave it open.
    void confirmCrash();
    void reportToCrashGuard(CallId id, const tl::expected<HttpResponse, ExchangeError> &result);
    // What a response or a transport error says about the execution of the request.
    AttemptOutcome classifyResult(tl::expected<HttpResponse, ExchangeError> result) const;
    // Removes the request and calls its handler.
    void finishCall(CallId id, AttemptOutcome outcome);
    std::string requestId(const RelayRequest &request) const;
    // True if the backend server has recently responded that it is not this instance.
    bool isMisdirected(const std::string &instance) const;
    // Reads the number of slots and the speed from the load field of a response. Ignores malformed values.
    void updateLoad(std::string_view load);
    // State of the queue, with the greatest pressure among the routes that requests of `route` call.
    ServingReport servingReportFor(const std::string &route) const;

    RelayParts &m_parts;
    RequestSender &m_server;
    std::unordered_map<CallId, Call> m_calls;
    // Instances that the backend server has denied to be, each with the time until which requests for it are refused without asking.
    std::unordered_map<std::string, TimePoint> m_misdirectedUntil;
    CallId m_lastId = 0;
    // Time that work takes on this host at the moment, in percent of the usual time; 0 if the backend server does not tell.
    std::uint32_t m_slowdownPercent = 0;
    bool m_probePending = false;
    // Lets the handler of a probe find out whether this object still exists.
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
};

} // namespace wisteriafork
