#include "relay/relaycall.h"

#include "core/base/durationseconds.h"
#include "core/crashguard/trialserver.h"
#include "net/errorresponse.h"

#include <charconv>

namespace wisteriafork {

namespace {

// Attempts of one request that were not executed and may be followed by another attempt.
constexpr unsigned MaxReroutes = 3;
// Share of the target latency for which a caller's request waits for a usable instance before it is refused. A refusal within an eighth of
// the target latency costs the caller almost nothing.
constexpr double CallerInstanceWaitShare = 0.12;
// Share of the time to the deadline for which an inner call waits for a usable instance. It is larger because its parent request fails
// without it.
constexpr double InnerInstanceWaitShare = 0.5;
// Time to the deadline that another attempt requires.
constexpr Duration MinRemainingTime = std::chrono::milliseconds(20);
// Share of failed responses of a route above which a failure is not attributed to the instance.
constexpr double SystemicFailureShare = 0.3;
// Pressure of a route, from 0 to 1, from which slow responses are attributed to load and no hedged request is sent.
constexpr double MaxHedgePressure = 0.1;

// Time for which the sender waits, from the header field `field`. Empty if the field is missing or malformed.
std::optional<std::chrono::milliseconds> requestedWaitTime(const HttpRequest &request, const std::string &field)
{
    const std::string_view text = request.headers.find(field);
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && value >= 0 ? std::optional(std::chrono::milliseconds(value)) : std::nullopt;
}

} // namespace

RelayCall::RelayCall(RelayParts &parts, AttemptSender &sender, std::shared_ptr<ServerExchange> exchange)
    : m_parts(parts), m_sender(sender), m_exchange(std::move(exchange)), m_arrivalTime(parts.clock.now())
{
}

void RelayCall::start()
{
    const RunningRequest *parent = m_parts.runningRequests.parentOf(requestId());
    m_isInnerCall = parent != nullptr;
    m_parts.metrics.count(m_isInnerCall ? RelayCounter::InnerCalls : RelayCounter::CallerRequests);
    if (!findRoute()) {
        return;
    }
    m_priority = m_route->priority;
    if (parent != nullptr) {
        m_priority = parent->priority;
        m_isRetry = parent->isRetry;
        m_parentRoute = parent->route;
        m_workspace = parent->workspace;
    }
    if (m_parts.refusesCallers && (!m_isInnerCall || m_deadline > m_parts.stopDeadline)) {
        refuse({.reason = RefusalReason::Draining, .event = "stopping"});
        return;
    }
    runChecks();
}

void RelayCall::sendFirstAttempt()
{
    if (m_isInnerCall) {
        m_parts.runningRequests.onCallMade(m_parentRoute, m_route->name);
    }
    m_service = m_parts.split.choose(*m_route);
    if (m_isRetry) {
        m_parts.retryBudget.chargeRetry(m_service);
    } else {
        m_parts.retryBudget.onFirstSend(m_service);
    }
    const double instanceWaitSeconds = m_isInnerCall ? InnerInstanceWaitShare * toSeconds(m_deadline - m_arrivalTime)
                                                     : CallerInstanceWaitShare * toSeconds(m_route->targetLatency);
    m_instanceWaitDeadline = m_arrivalTime + fromSeconds(instanceWaitSeconds);
    if (!sendToNextInstance()) {
        m_waitsForInstance = true;
    }
}

bool RelayCall::findRoute()
{
    const HttpRequest &request = *m_exchange->request;
    m_routes = m_parts.routes;
    if (!m_routes) {
        refuseUnconfigured();
        return false;
    }
    m_route = m_routes->find(request.headers.find("host"), request.target, request.method);
    if (m_route == nullptr) {
        m_parts.metrics.count(RelayCounter::NoRoute);
        respond(errorResponse(404, "no route matches the host and path"), "no-route");
        return false;
    }
    Duration timeout = m_route->timeout;
    if (const auto callerWait = requestedWaitTime(request, m_parts.settings.headers.deadline)) {
        timeout = std::min<Duration>(timeout, *callerWait);
    }
    m_deadline = m_arrivalTime + timeout;
    if (RelayObserver *requestObserver = observer()) {
        requestObserver->onRequestArrived(*m_route);
    }
    return true;
}

void RelayCall::recordReachedInstance(const std::string &instance)
{
    if (std::ranges::find(m_reachedInstances, instance) == m_reachedInstances.end()) {
        m_reachedInstances.push_back(instance);
    }
}

bool RelayCall::sendToNextInstance()
{
    if (!m_parts.mayStart(m_deadline)) {
        return false;
    }
    if (m_trialFingerprint) {
        const Instance *trial = trialServer(m_parts.directory.instancesOf(m_service), *m_trialFingerprint);
        if (trial == nullptr || !m_triedInstances.empty()) {
            return false;
        }
        sendToInstance(*trial);
        return true;
    }
    if (m_reachedInstances.size() >= m_route->maxAttempts) {
        return resendToTriedInstance();
    }
    const Instance *instance
        = m_parts.placement.choose(m_parts.directory.instancesOf(m_service), m_triedInstances, m_route->name, m_route->targetLatency);
    if (instance == nullptr) {
        return false;
    }
    sendToInstance(*instance);
    return true;
}

bool RelayCall::resendToTriedInstance()
{
    // The instances are in the order in which they were reached first.
    for (const std::string &id : m_reachedInstances) {
        const Instance *instance = m_parts.directory.find(id);
        if (instance != nullptr && !instance->draining && (id != m_triedInstances.back() || m_reachedInstances.size() == 1)) {
            sendToInstance(*instance);
            return true;
        }
    }
    return false;
}

void RelayCall::sendToInstance(const Instance &instance)
{
    const std::size_t index = m_attempts.size();
    const bool isRetry = m_isRetry || !m_reachedInstances.empty() || hasOpenAttempt();
    m_attempts.push_back({{.instance = instance.id, .peerAddress = instance.peerAddress, .startTime = m_parts.clock.now()}, nullptr});
    m_triedInstances.push_back(instance.id);
    m_parts.placement.onRequestSent(instance.id);
    const Duration hedgeDelay = m_parts.routeOutcomes.lateResponseThreshold(m_route->name);
    m_hedgeTime = hedgeDelay > Duration(0) ? m_parts.clock.now() + hedgeDelay : TimePoint::max();
    RelayRequest request{.http = m_exchange->request,
                         .instance = instance.id,
                         .route = m_route->name,
                         .kind = m_route->kind,
                         .isInner = m_isInnerCall,
                         .isRetry = isRetry,
                         .workspace = m_workspace,
                         .priority = m_priority,
                         .targetLatency = m_route->targetLatency,
                         .deadline = m_deadline,
                         .configurationVersion = m_routes->version(),
                         .senderAddress = m_parts.ownPeerAddress,
                         .callerService = m_parts.settings.service.value()};
    auto handler = [self = shared_from_this(), index](AttemptOutcome outcome) {
        self->onAttemptEnded(index, std::move(outcome));
    };
    m_attempts[index].pending = m_sender.send(instance, std::move(request), std::move(handler));
}

void RelayCall::onAttemptEnded(std::size_t index, AttemptOutcome outcome)
{
    if (m_finished || !m_attempts[index].open) {
        return;
    }
    m_attempts[index].open = false;
    m_attempts[index].pending.reset();
    // Copied, because another attempt may be added to `m_attempts` while this one is handled.
    const AttemptInfo attempt{
        .instance = m_attempts[index].instance, .peerAddress = m_attempts[index].peerAddress, .startTime = m_attempts[index].startTime};
    if (outcome.report) {
        m_parts.placement.recordReport(attempt.instance, *outcome.report);
        m_parts.routePressure.recordPressure(m_route->name, outcome.report->pressure);
        m_parts.noteVersion(outcome.report->configurationVersion, attempt.peerAddress);
    }
    std::visit([this, &attempt](auto &result) { onAttemptResult(attempt, result); }, outcome.result);
}

void RelayCall::onAttemptResult(const AttemptInfo &attempt, ServerResponse &result)
{
    const Duration elapsedTime = m_parts.clock.now() - attempt.startTime;
    const bool failed = result.response.status >= 500;
    m_parts.placement.onRequestEnded(attempt.instance, m_route->name, failed ? PlacementOutcome::Failed : PlacementOutcome::Answered,
                                     elapsedTime);
    ++m_possibleExecutions;
    recordReachedInstance(attempt.instance);
    if (!failed) {
        m_parts.routeOutcomes.recordSuccess(m_route->name, elapsedTime);
        relayResponse(std::move(result.response), RelayCounter::Succeeded);
        return;
    }
    m_parts.routeOutcomes.recordFailure(m_route->name);
    m_mayHaveExecuted = true;
    m_failureResponse = std::move(result.response);
    if (hasOpenAttempt()) {
        return;
    }
    // A failure that many requests of the route share comes from a service that it calls. Another execution would repeat all calls in vain.
    const bool systemic = m_parts.routeOutcomes.failureShare(m_route->name) > SystemicFailureShare;
    if (systemic || !claimRetry() || !sendToNextInstance()) {
        respondWithOutcome();
    }
}

void RelayCall::onAttemptResult(const AttemptInfo &attempt, const NotExecuted &result)
{
    const bool refusedByServer = result.reason == NotExecutedReason::RefusedByServer;
    const bool unreachable = result.reason == NotExecutedReason::Unreachable || result.reason == NotExecutedReason::Leaving
        || result.reason == NotExecutedReason::OtherInstance;
    const PlacementOutcome outcome = refusedByServer ? PlacementOutcome::Failed
        : unreachable                                ? PlacementOutcome::Unreachable
                                                     : PlacementOutcome::Refused;
    m_parts.placement.onRequestEnded(attempt.instance, m_route->name, outcome, m_parts.clock.now() - attempt.startTime);
    m_parts.log.writeDecision(EventNumber::RelayMoved, false, [&] {
        return std::vector<std::string>{std::string(requestId()), m_route->name, attempt.instance, notExecutedReasonName(result.reason),
                                        std::to_string(m_parts.directory.size())};
    });
    recordNotExecuted(attempt, result);
    if (refusedByServer) {
        recordReachedInstance(attempt.instance);
    }
    if (hasOpenAttempt()) {
        return;
    }
    const bool final = result.reason == NotExecutedReason::TooLate || result.reason == NotExecutedReason::SuspectedOfCrash
        || result.reason == NotExecutedReason::Withdrawn;
    const bool mayContinue = !final && m_reroutes < MaxReroutes && (!refusedByServer || claimRetry());
    ++m_reroutes;
    if (!mayContinue || m_parts.clock.now() + MinRemainingTime > m_deadline || !sendToNextInstance()) {
        respondWithOutcome();
    }
}

void RelayCall::onAttemptResult(const AttemptInfo &attempt, const OutcomeUnknown &result)
{
    m_parts.placement.onRequestEnded(attempt.instance, m_route->name,
                                     result.nodeConnectionLost ? PlacementOutcome::Unreachable : PlacementOutcome::Failed,
                                     m_parts.clock.now() - attempt.startTime);
    ++m_possibleExecutions;
    recordReachedInstance(attempt.instance);
    m_mayHaveExecuted = true;
    if (hasOpenAttempt()) {
        return;
    }
    if (!claimRetry() || !sendToNextInstance()) {
        respondWithOutcome();
    }
}

bool RelayCall::claimRetry()
{
    if (m_mayHaveExecuted && m_route->kind == RequestKind::NonIdempotent) {
        return false;
    }
    if (m_possibleExecutions >= m_route->maxAttempts || m_parts.clock.now() + MinRemainingTime > m_deadline
        || !m_parts.retryBudget.tryChargeRetry(m_service, m_priority)) {
        return false;
    }
    m_parts.metrics.count(RelayCounter::Repeats);
    return true;
}

bool RelayCall::mayHedge() const
{
    return m_route->kind == RequestKind::Idempotent && m_attempts.size() == 1 && m_attempts.front().open && m_route->maxAttempts > 1
        && m_parts.routePressure.pressureOf(m_route->name) < MaxHedgePressure;
}

bool RelayCall::hasOpenAttempt() const
{
    return std::ranges::any_of(m_attempts, &Attempt::open);
}

void RelayCall::handleDueTimers()
{
    if (m_finished) {
        return;
    }
    const auto self = shared_from_this();
    const TimePoint now = m_parts.clock.now();
    if (now >= m_deadline) {
        answerNow();
        return;
    }
    if (m_waitsForInstance) {
        if (sendToNextInstance()) {
            m_waitsForInstance = false;
        } else if (!m_parts.mayStart(m_deadline)) {
            respondWithOutcome();
        } else if (now >= m_instanceWaitDeadline) {
            m_parts.metrics.count(RelayCounter::NoInstance);
            refuse({.reason = RefusalReason::NoInstance, .event = "no-instance"});
        }
        return;
    }
    if (now >= m_hedgeTime) {
        m_hedgeTime = TimePoint::max();
        if (mayHedge() && m_parts.retryBudget.tryChargeRetry(m_service, m_priority) && sendToNextInstance()) {
            m_parts.metrics.count(RelayCounter::Hedges);
        }
    }
}

bool RelayCall::refuseIfUnsent()
{
    if (m_finished || m_parts.mayStart(m_deadline) || hasOpenAttempt()) {
        return false;
    }
    const auto self = shared_from_this();
    respondWithOutcome();
    return true;
}

void RelayCall::addPeersIfLate(std::set<std::string> &addresses) const
{
    if (m_parts.mayStart(m_deadline)) {
        return;
    }
    for (const Attempt &attempt : m_attempts) {
        if (attempt.open) {
            addresses.insert(attempt.peerAddress);
        }
    }
}

bool RelayCall::answerNow()
{
    if (m_finished) {
        return false;
    }
    const auto self = shared_from_this();
    m_mayHaveExecuted = m_mayHaveExecuted || hasOpenAttempt();
    respondWithOutcome();
    return true;
}

void RelayCall::onCallerGone()
{
    if (!m_finished) {
        m_finished = true;
        m_parts.metrics.count(RelayCounter::CallerGone);
        reportFailure();
        cancelAttempts();
    }
}

void RelayCall::cancelAttempts()
{
    for (Attempt &attempt : m_attempts) {
        if (!std::exchange(attempt.open, false)) {
            continue;
        }
        m_parts.placement.onRequestEnded(attempt.instance, m_route->name, PlacementOutcome::Abandoned, Duration(0));
        // Destroyed here as well, because its handler keeps this call alive.
        const std::unique_ptr<PendingAttempt> pending = std::move(attempt.pending);
        pending->cancel();
    }
}

std::string_view RelayCall::requestId() const
{
    return m_exchange->request->headers.find(m_parts.settings.headers.requestId);
}

Duration RelayCall::elapsed() const
{
    return m_parts.clock.now() - m_arrivalTime;
}

} // namespace wisteriafork
