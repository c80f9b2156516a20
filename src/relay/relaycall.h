#pragma once

#include "net/serverexchange.h"
#include "relay/attemptoutcome.h"
#include "relay/attemptsender.h"
#include "relay/relayparts.h"

#include <memory>
#include <string>
#include <vector>

namespace wisteriafork {

// One request of a caller or of the local backend server, from its arrival to its answer. The node at which it arrives decides alone to
// which instances it is sent: a non-idempotent request goes to another instance only when it has certainly not run.
class RelayCall : public std::enable_shared_from_this<RelayCall>
{
public:
    RelayCall(RelayParts &parts, AttemptSender &sender, std::shared_ptr<ServerExchange> exchange);

    void start();
    void onCallerGone();
    // Does what has become due. Called every few milliseconds.
    void handleDueTimers();

    bool isFinished() const
    {
        return m_finished;
    }

private:
    struct AttemptInfo
    {
        std::string instance;
        std::string peerAddress;
        TimePoint startTime;
    };

    struct Attempt : AttemptInfo
    {
        // Null once the attempt has ended.
        std::unique_ptr<PendingAttempt> pending;
        bool open = true;
    };

    bool findRoute();
    bool admitOrRefuse();
    // Sends the request to the best instance that was not tried. False if there is none.
    bool sendToNextInstance();
    // Sends the request once more to an instance that did not run it, because it may not be sent to further ones.
    bool resendToTriedInstance();
    void sendToInstance(const Instance &instance);
    void recordReachedInstance(const std::string &instance);
    void onAttemptEnded(std::size_t index, AttemptOutcome outcome);
    void onAttemptResult(const AttemptInfo &attempt, ServerResponse &result);
    void onAttemptResult(const AttemptInfo &attempt, const NotExecuted &result);
    void onAttemptResult(const AttemptInfo &attempt, const OutcomeUnknown &result);
    bool claimRetry();
    bool mayHedge() const;
    bool hasOpenAttempt() const;
    // Nothing more can be tried: gives the answer that is true for what has happened.
    void respondWithOutcome();
    void refuse(RefusalReason reason, const char *event);
    void refuseUnconfigured();
    void relayResponse(HttpResponse response, RelayCounter counter);
    void respondWithError(unsigned status, RelayCounter counter, const char *reason);
    void respond(HttpResponse response, const char *event);
    void cancelAttempts();
    void reportRefusal(RefusalReason reason);
    void reportFailure();
    std::string_view requestId() const;
    std::string_view workspace() const;
    // Whom to report the end of a caller's request; null if nobody wants to know or the request is none of a caller.
    RelayObserver *observer() const;
    Duration elapsed() const;

    RelayParts &m_parts;
    AttemptSender &m_sender;
    std::shared_ptr<ServerExchange> m_exchange;
    const TimePoint m_arrivalTime;
    // Keeps the route alive.
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    ServiceId m_service;
    // Made by the local backend server for a request that it runs.
    bool m_isInnerCall = false;
    // Rank of the caller's request at the top of the chain.
    unsigned m_priority = 0;
    // Made for a run that was a repeat.
    bool m_isRetry = false;
    std::uint64_t m_admissionIdentity = 0;
    TimePoint m_deadline;
    TimePoint m_hedgeTime = TimePoint::max();
    TimePoint m_instanceWaitDeadline{};
    std::vector<Attempt> m_attempts;
    std::vector<std::string> m_triedInstances;
    // Failure of an instance that is passed on if no other attempt succeeds.
    std::optional<HttpResponse> m_failureResponse;
    // Instances that were reached, whether they ran the request or not.
    std::vector<std::string> m_reachedInstances;
    // Sends that an instance ran or may have run.
    unsigned m_possibleExecutions = 0;
    unsigned m_reroutes = 0;
    bool m_mayHaveExecuted = false;
    bool m_waitsForInstance = false;
    bool m_finished = false;
};

} // namespace wisteriafork
