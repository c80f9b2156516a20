#include "relay/relaycall.h"

#include "core/base/durationseconds.h"
#include "core/base/hashing.h"
#include "net/errorresponse.h"

#include <charconv>

namespace wisteriafork {

namespace {

// Sends of one request to instances that did not run it.
constexpr unsigned MostMoves = 3;
// Part of the target latency for which a caller's request waits for a usable instance before it is refused; up to an eighth, a refusal
// costs the caller next to nothing.
constexpr double PlaceShare = 0.12;
// Part of the remaining time for which an inner call waits for one: its parent fails without it.
constexpr double InnerPlaceShare = 0.5;
// Time that must be left for another attempt.
constexpr Duration LeastRemaining = std::chrono::milliseconds(20);
// Share of failed answers of a route above which a failure is not taken for one of the instance.
constexpr double SystemicFailures = 0.3;
// Pressure of a route above which slow answers are due to load and are not asked for a second time.
constexpr double MostHedgePressure = 0.1;

std::optional<std::chrono::milliseconds> deadlineOf(const HttpRequest &request, const std::string &field)
{
    const std::string_view text = request.headers.find(field);
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && value >= 0 ? std::optional(std::chrono::milliseconds(value)) : std::nullopt;
}

} // namespace

RelayCall::RelayCall(RelayParts &parts, AttemptSender &sender, std::shared_ptr<ServerExchange> exchange)
    : m_parts(parts), m_sender(sender), m_exchange(std::move(exchange)), m_arrived(parts.clock.now())
{
}

void RelayCall::start()
{
    const RunningRequest *parent = m_parts.running.parentOf(requestId());
    m_inner = parent != nullptr;
    m_parts.metrics.count(m_inner ? RelayCounter::InnerCalls : RelayCounter::CallerRequests);
    if (!findRoute()) {
        return;
    }
    if (m_parts.refusesCallers && !m_inner) {
        refuse(RefusalReason::Draining, "stopping");
        return;
    }
    if (m_parts.crashGuard.suspectCount() > 0 && m_parts.crashGuard.isBanned(RelayRequest{.http = m_exchange->request}.fingerprint())) {
        refuse(RefusalReason::SuspectedOfCrash, "suspected-of-crash");
        return;
    }
    m_priority = m_route->priority;
    if (parent != nullptr) {
        m_priority = parent->priority;
        m_repeat = parent->repeat;
        m_parts.running.onCallMade(parent->route, m_route->name);
    } else if (!admit()) {
        return;
    }
    m_service = m_parts.split.choose(*m_route);
    if (m_repeat) {
        m_parts.retries.chargeRetry(m_service);
    } else {
        m_parts.retries.onFirstSend(m_service);
    }
    const double share = m_inner ? InnerPlaceShare * toSeconds(m_deadline - m_arrived) : PlaceShare * toSeconds(m_route->targetLatency);
    m_placeUntil = m_arrived + fromSeconds(share);
    if (!sendNext()) {
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
    Duration wait = m_route->timeout;
    if (const auto stated = deadlineOf(request, m_parts.settings.headers.deadline)) {
        wait = std::min<Duration>(wait, *stated);
    }
    m_deadline = m_arrived + wait;
    if (RelayObserver *told = observer()) {
        told->onRequestArrived(*m_route);
    }
    return true;
}

bool RelayCall::admit()
{
    const HttpRequest &request = *m_exchange->request;
    m_identity = hash64(request.target, hash64(request.body, hash64(request.headers.find("host"))));
    if (m_parts.admission.admit(m_route->name, m_route->priority, m_parts.pressure.pressureOf(m_route->name), m_identity)) {
        return true;
    }
    m_parts.metrics.count(RelayCounter::RefusedAtEntry);
    refuse(RefusalReason::Overloaded, "refused-at-entry");
    return false;
}

void RelayCall::noteReached(const std::string &instance)
{
    if (std::ranges::find(m_reached, instance) == m_reached.end()) {
        m_reached.push_back(instance);
    }
}

bool RelayCall::sendNext()
{
    if (m_reached.size() >= m_route->maxAttempts) {
        return sendAgain();
    }
    const Instance *instance
        = m_parts.placement.choose(m_parts.directory.instancesOf(m_service), m_tried, m_route->name, m_route->targetLatency);
    if (instance == nullptr) {
        return false;
    }
    sendTo(*instance);
    return true;
}

bool RelayCall::sendAgain()
{
    // The instance that was asked the longest ago comes first.
    for (const std::string &id : m_reached) {
        const Instance *instance = m_parts.directory.find(id);
        if (instance != nullptr && !instance->draining && (id != m_tried.back() || m_reached.size() == 1)) {
            sendTo(*instance);
            return true;
        }
    }
    return false;
}

void RelayCall::sendTo(const Instance &instance)
{
    const std::size_t index = m_attempts.size();
    const bool repeat = m_repeat || !m_reached.empty() || hasOpenAttempt();
    m_attempts.push_back({{.instance = instance.id, .peerAddress = instance.peerAddress, .started = m_parts.clock.now()}, nullptr});
    m_tried.push_back(instance.id);
    m_parts.placement.onRequestSent(instance.id);
    const Duration unusual = m_parts.outcomes.lateAnswerThreshold(m_route->name);
    m_hedgeAt = unusual > Duration(0) ? m_parts.clock.now() + unusual : TimePoint::max();
    RelayRequest request{.http = m_exchange->request,
                         .instance = instance.id,
                         .route = m_route->name,
                         .kind = m_route->kind,
                         .inner = m_inner,
                         .repeat = repeat,
                         .priority = m_priority,
                         .targetLatency = m_route->targetLatency,
                         .deadline = m_deadline,
                         .version = m_routes->version(),
                         .sender = m_parts.ownPeerAddress,
                         .callerService = m_parts.settings.service.value()};
    auto handler = [self = shared_from_this(), index](AttemptOutcome outcome) {
        self->ended(index, std::move(outcome));
    };
    m_attempts[index].sent = m_sender.send(instance, std::move(request), std::move(handler));
}

void RelayCall::ended(std::size_t index, AttemptOutcome outcome)
{
    if (m_finished || !m_attempts[index].open) {
        return;
    }
    m_attempts[index].open = false;
    m_attempts[index].sent.reset();
    // Copied, because another attempt may follow while it is looked at.
    const EndedAttempt attempt{
        .instance = m_attempts[index].instance, .peerAddress = m_attempts[index].peerAddress, .started = m_attempts[index].started};
    if (outcome.report) {
        m_parts.placement.recordReport(attempt.instance, *outcome.report);
        m_parts.pressure.recordPressure(m_route->name, outcome.report->pressure);
        m_parts.noteVersion(outcome.report->version, attempt.peerAddress);
    }
    std::visit([this, &attempt](auto &result) { on(attempt, result); }, outcome.result);
}

void RelayCall::on(const EndedAttempt &attempt, ServerAnswer &answer)
{
    const Duration took = m_parts.clock.now() - attempt.started;
    const bool failed = answer.response.status >= 500;
    m_parts.placement.onRequestEnded(attempt.instance, m_route->name, failed ? PlacementOutcome::Failed : PlacementOutcome::Answered, took);
    ++m_sends;
    noteReached(attempt.instance);
    if (!failed) {
        m_parts.outcomes.recordSuccess(m_route->name, took);
        relay(std::move(answer.response), RelayCounter::Succeeded);
        return;
    }
    m_parts.outcomes.recordFailure(m_route->name);
    m_mayHaveRun = true;
    m_failure = std::move(answer.response);
    if (hasOpenAttempt()) {
        return;
    }
    // A failure that most requests share comes from a service behind; another run would repeat all of its calls in vain.
    const bool systemic = m_parts.outcomes.failureShare(m_route->name) > SystemicFailures;
    if (systemic || !mayRepeat() || !sendNext()) {
        conclude();
    }
}

void RelayCall::on(const EndedAttempt &attempt, const NotRun &result)
{
    const bool reached = result.reason == NotRunReason::RefusedByServer;
    const bool unreachable = result.reason == NotRunReason::Unreachable || result.reason == NotRunReason::Leaving
        || result.reason == NotRunReason::OtherInstance;
    const PlacementOutcome outcome = reached ? PlacementOutcome::Failed
        : unreachable                        ? PlacementOutcome::Unreachable
                                             : PlacementOutcome::Refused;
    m_parts.placement.onRequestEnded(attempt.instance, m_route->name, outcome, m_parts.clock.now() - attempt.started);
    m_parts.log.decision(EventNumber::RelayMoved, false, [&] {
        return std::vector<std::string>{std::string(requestId()), m_route->name, attempt.instance, describeNotRun(result.reason),
                                        std::to_string(m_parts.directory.size())};
    });
    if (reached) {
        noteReached(attempt.instance);
    }
    if (hasOpenAttempt()) {
        return;
    }
    const bool final = result.reason == NotRunReason::TooLate || result.reason == NotRunReason::SuspectedOfCrash;
    const bool allowed = !final && m_moves < MostMoves && (!reached || mayRepeat());
    ++m_moves;
    if (!allowed || m_parts.clock.now() + LeastRemaining > m_deadline || !sendNext()) {
        conclude();
    }
}

void RelayCall::on(const EndedAttempt &attempt, const OutcomeUnknown &result)
{
    m_parts.placement.onRequestEnded(attempt.instance, m_route->name,
                                     result.nodeLost ? PlacementOutcome::Unreachable : PlacementOutcome::Failed,
                                     m_parts.clock.now() - attempt.started);
    ++m_sends;
    noteReached(attempt.instance);
    m_mayHaveRun = true;
    if (hasOpenAttempt()) {
        return;
    }
    if (!mayRepeat() || !sendNext()) {
        conclude();
    }
}

bool RelayCall::mayRepeat()
{
    if (m_mayHaveRun && m_route->kind == RequestKind::NonIdempotent) {
        return false;
    }
    if (m_sends >= m_route->maxAttempts || m_parts.clock.now() + LeastRemaining > m_deadline
        || !m_parts.retries.tryChargeRetry(m_service, m_priority)) {
        return false;
    }
    m_parts.metrics.count(RelayCounter::Repeats);
    return true;
}

bool RelayCall::mayHedge() const
{
    return m_route->kind == RequestKind::Idempotent && m_attempts.size() == 1 && m_attempts.front().open && m_route->maxAttempts > 1
        && m_parts.pressure.pressureOf(m_route->name) < MostHedgePressure;
}

bool RelayCall::hasOpenAttempt() const
{
    return std::ranges::any_of(m_attempts, &Attempt::open);
}

void RelayCall::wake()
{
    if (m_finished) {
        return;
    }
    const auto self = shared_from_this();
    const TimePoint now = m_parts.clock.now();
    if (now >= m_deadline) {
        if (hasOpenAttempt()) {
            m_mayHaveRun = true;
        }
        conclude();
        return;
    }
    if (m_waitsForInstance) {
        if (sendNext()) {
            m_waitsForInstance = false;
        } else if (now >= m_placeUntil) {
            m_parts.metrics.count(RelayCounter::NoInstance);
            refuse(RefusalReason::NoInstance, "no-instance");
        }
        return;
    }
    if (now >= m_hedgeAt) {
        m_hedgeAt = TimePoint::max();
        if (mayHedge() && m_parts.retries.tryChargeRetry(m_service, m_priority) && sendNext()) {
            m_parts.metrics.count(RelayCounter::Hedges);
        }
    }
}

void RelayCall::callerGone()
{
    if (!m_finished) {
        m_finished = true;
        m_parts.metrics.count(RelayCounter::CallerGone);
        reportFailed();
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
        // Released as well: its handler keeps this call alive.
        const std::unique_ptr<SentAttempt> sent = std::move(attempt.sent);
        sent->cancel();
    }
}

std::string_view RelayCall::requestId() const
{
    return m_exchange->request->headers.find(m_parts.settings.headers.requestId);
}

Duration RelayCall::elapsed() const
{
    return m_parts.clock.now() - m_arrived;
}

} // namespace wisteriafork
