#pragma once

#include "net/requestsender.h"
#include "relay/attemptoutcome.h"
#include "relay/relayparts.h"
#include "relay/relayrequest.h"

#include <memory>
#include <unordered_map>

namespace wisteriafork {

// Runs requests of this node and of other nodes on the local backend server, in the order of the serving queue.
class ServingGateway
{
public:
    // Both must outlive the object; `server` sends to the local backend server.
    ServingGateway(RelayParts &parts, RequestSender &server);

    // Queues or starts the request. The handler is called once, after this returned, unless the request is cancelled.
    CallId serve(RelayRequest request, AttemptHandler handler);
    // The sender has given up. A waiting request never starts; a running one is ended if it may be repeated, and else completes unheard.
    void cancel(CallId id);
    // Starts or refuses waiting requests whose time has come.
    void pollQueue();
    // Updates the pressure. Call every 100 ms.
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

    // The instance leaves: what has not begun on it runs elsewhere.
    bool isLeaving(const std::string &instance) const;
    void refuseCallsToLeavingInstances();
    void startCall(CallId id);
    void onServerResult(CallId id, tl::expected<HttpResponse, ExchangeError> result);
    void reportToCrashGuard(CallId id, const tl::expected<HttpResponse, ExchangeError> &result);
    AttemptOutcome classifyResult(tl::expected<HttpResponse, ExchangeError> result) const;
    void finishCall(CallId id, AttemptOutcome outcome);
    std::string requestId(const RelayRequest &request) const;
    bool isMisdirected(const std::string &instance) const;
    void updateSlots(std::string_view load);
    ServingReport servingReportFor(const std::string &route) const;

    RelayParts &m_parts;
    RequestSender &m_server;
    std::unordered_map<CallId, Call> m_calls;
    // Instances that were expected here and are not, until when that is believed.
    std::unordered_map<std::string, TimePoint> m_misdirectedUntil;
    CallId m_lastId = 0;
};

} // namespace wisteriafork
