#pragma once

#include "core/admission/verdict.h"
#include "net/serverexchange.h"
#include "relay/attemptoutcome.h"
#include "relay/attemptsender.h"
#include "relay/relayparts.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wisteriafork {

// One request of a caller or of the local backend server, from its arrival to its response. The node at which it arrives is the only one
// that decides to which instances it is sent. A non-idempotent request is sent to another instance only if it is certain that no instance
// has executed it.
class RelayCall : public std::enable_shared_from_this<RelayCall>
{
public:
    RelayCall(RelayParts &parts, AttemptSender &sender, std::shared_ptr<ServerExchange> exchange);

    // Admits the request and sends it to an instance, or refuses it. Call once.
    void start();
    // The caller has disconnected or cancelled: cancels the attempts in flight, without a response.
    void onCallerGone();
    // Handles the time-out of the request, a hedged request or a wait for an instance, if one is due. Call every 20 ms.
    void handleDueTimers();

    // The process ends soon: refuses the request if it may last beyond the end and no attempt at it is open. True if it was refused.
    bool refuseIfUnsent();
    // Adds the addresses of the nodes to which the request was sent if it may last beyond the end of the process.
    void addPeersIfLate(std::set<std::string> &addresses) const;
    // Responds with what is known of the execution of the request: its time is up, or the process ends. False if it has its response.
    bool answerNow();

    // True once the response was sent or the caller has gone.
    bool isFinished() const
    {
        return m_finished;
    }

private:
    struct AttemptInfo
    {
        // Id of the instance.
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

    // Sets the route and the deadline. False if there is no route; the request already has its response then.
    bool findRoute();
    // Runs the checks that come before the first attempt, and then sends the request. Stops at a check that is pending; call again to
    // repeat that check.
    void runChecks();
    // The checks, in the order in which they are made.
    Verdict checkWorkspace();
    Verdict checkFreshness();
    Verdict checkQuota();
    Verdict checkCrashGuard();
    Verdict checkAdmission();
    // Turns a verdict into the response, the log event and the metric of a refusal. True if the next check follows.
    bool applyVerdict(const Verdict &verdict);
    // Chooses the service and sends the request for the first time.
    void sendFirstAttempt();
    // Sends the request to the best instance that was not tried, or to a tried one if the route allows no further instances. False if there
    // is none.
    bool sendToNextInstance();
    // Sends the request again to an instance that it has reached before, because it has reached as many instances as the route allows.
    // False if none of them can be used.
    bool resendToTriedInstance();
    void sendToInstance(const Instance &instance);
    void recordReachedInstance(const std::string &instance);
    void onAttemptEnded(std::size_t index, AttemptOutcome outcome);
    void onAttemptResult(const AttemptInfo &attempt, ServerResponse &result);
    void onAttemptResult(const AttemptInfo &attempt, const NotExecuted &result);
    void onAttemptResult(const AttemptInfo &attempt, const OutcomeUnknown &result);
    // True if the request may be executed once more; the retry is then charged to the retry budget.
    bool claimRetry();
    // True if a second instance may be asked before the first one has responded.
    bool mayHedge() const;
    bool hasOpenAttempt() const;
    // Responds when no further attempt is possible: with the failure of an instance, a refusal, 504 or 502, depending on the attempts.
    void respondWithOutcome();
    // Responds with the status of the refusal, for load unless it says otherwise.
    void refuse(const Refuse &refusal);
    void refuseUnconfigured();
    // Passes on the response of a backend server; `counter` is `Succeeded` or `FailedByServer`.
    void relayResponse(HttpResponse response, RelayCounter counter);
    void respondWithError(unsigned status, RelayCounter counter, const char *reason);
    // Cancels the remaining attempts, logs `event` and sends the response.
    void respond(HttpResponse response, const char *event);
    void cancelAttempts();
    // Adds an attempt to those that the log gives as the reason of a refusal.
    void recordNotExecuted(const AttemptInfo &attempt, const NotExecuted &result);
    void reportRefusal(RefusalReason reason);
    void reportFailure();
    std::string_view requestId() const;
    std::string_view workspace() const;
    // The observer to notify about this request. Null if none is set, if the request has no route, or if it is an inner call.
    RelayObserver *observer() const;
    // Time since the arrival of the request.
    Duration elapsed() const;

    RelayParts &m_parts;
    AttemptSender &m_sender;
    std::shared_ptr<ServerExchange> m_exchange;
    const TimePoint m_arrivalTime;
    // Owns `m_route`.
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    ServiceId m_service;
    // The request comes from the local backend server, on behalf of a request that it runs.
    bool m_isInnerCall = false;
    // Route of the request for which the local backend server makes this call; empty for the request of a caller.
    std::string m_parentRoute;
    // Workspace of the caller's request for which the chain of calls is made; empty if there is none.
    std::string m_workspace;
    // Verdict on the quota that came after the answer of the lender.
    std::optional<Verdict> m_quotaVerdict;
    bool m_holdsQuotaToken = false;
    // Number of checks that the request has passed.
    std::size_t m_passedChecks = 0;
    // Priority of the caller's request for which the chain of calls is made; 0 is the most urgent.
    unsigned m_priority = 0;
    // The request that the backend server runs was itself a retry, so this call repeats an earlier one.
    bool m_isRetry = false;
    // Fingerprint of a request that was in flight at crashes and is tried once more, on the trial server only.
    std::optional<RequestKey> m_trialFingerprint;
    // Hash that is equal for all attempts of a caller at the same request.
    std::uint64_t m_admissionIdentity = 0;
    TimePoint m_deadline;
    // Time at which a hedged request is sent.
    TimePoint m_hedgeTime = TimePoint::max();
    // Time at which a request is refused that has found no usable instance.
    TimePoint m_instanceWaitDeadline{};
    std::vector<Attempt> m_attempts;
    std::vector<std::string> m_triedInstances;
    // The attempts that were not executed, in order, with reason, evidence and milliseconds, for the log.
    std::string m_notExecutedAttempts;
    // Failure response of an instance, which is passed on if no other attempt succeeds.
    std::optional<HttpResponse> m_failureResponse;
    // Instances whose backend server received the request or may have received it.
    std::vector<std::string> m_reachedInstances;
    // Attempts that executed the request or may have executed it.
    unsigned m_possibleExecutions = 0;
    // Attempts that were not executed, after which another one was considered.
    unsigned m_reroutes = 0;
    bool m_mayHaveExecuted = false;
    bool m_waitsForInstance = false;
    bool m_finished = false;
};

} // namespace wisteriafork
