#include "relay/servinggateway.h"

#include "core/crashguard/trialserver.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace wisteriafork {

namespace {

constexpr unsigned MisdirectedStatus = 421;
// Time for which requests for an instance are refused without asking after the backend server responded that it is another one. It is
// limited because an instance may start again under its old name.
constexpr Duration MisdirectedExpiry = std::chrono::milliseconds(1000);
// Time after its deadline for which a running request keeps its slot. The backend server stops work at the deadline; a response after this
// time is not expected, because the connection has gone silent or the backend server has dropped the request.
constexpr Duration OverdueTime = std::chrono::milliseconds(500);

ServingRequest servingRequest(CallId id, const RelayRequest &request)
{
    return {.id = id,
            .route = request.route,
            .isInner = request.isInner,
            .priority = request.priority,
            .workspace = request.workspace,
            .deadline = request.deadline,
            .targetLatency = request.targetLatency};
}

// True for statuses from which callers conclude that the request has not run and never will.
bool promisesNoExecution(unsigned status)
{
    return status == 408 || status == 429 || status == 503;
}

NotExecutedReason notExecutedReasonOf(ServingDecision decision)
{
    return decision == ServingDecision::RefuseLate ? NotExecutedReason::TooLate : NotExecutedReason::Overloaded;
}

} // namespace

ServingGateway::ServingGateway(RelayParts &parts, RequestSender &server) : m_parts(parts), m_server(server)
{
}

CallId ServingGateway::serve(RelayRequest request, AttemptHandler handler)
{
    const CallId id = ++m_lastId;
    const ServingRequest offered = servingRequest(id, request);
    m_calls.emplace(id, Call{.request = std::move(request), .handler = std::move(handler)});
    if (isMisdirected(m_calls.at(id).request.instance)) {
        asio::post(m_parts.context, [this, id] { finishCall(id, {.result = NotExecuted{.reason = NotExecutedReason::OtherInstance}}); });
        return id;
    }
    if (isLeaving(m_calls.at(id).request.instance) || !m_parts.mayStart(offered.deadline)) {
        asio::post(m_parts.context, [this, id] { finishCall(id, {.result = NotExecuted{.reason = NotExecutedReason::Leaving}}); });
        return id;
    }
    const ServingDecision decision = m_parts.queue.offer(offered);
    if (decision == ServingDecision::Start) {
        startCall(id);
    } else if (decision != ServingDecision::Wait) {
        asio::post(m_parts.context,
                   [this, id, decision] { finishCall(id, {.result = NotExecuted{.reason = notExecutedReasonOf(decision)}}); });
    }
    return id;
}

void ServingGateway::cancel(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    Call &call = found->second;
    if (call.running && call.request.kind == RequestKind::NonIdempotent) {
        call.handler = nullptr;
        return;
    }
    if (call.running) {
        abortRunningCall(id, call);
    } else {
        m_parts.queue.withdraw(id);
    }
    m_calls.erase(found);
    pollQueue();
}

void ServingGateway::pollQueue()
{
    for (const ServingQueue::Change &change : m_parts.queue.poll()) {
        if (change.decision == ServingDecision::Start) {
            startCall(change.id);
        } else {
            finishCall(change.id, {.result = NotExecuted{.reason = notExecutedReasonOf(change.decision)}});
        }
    }
}

void ServingGateway::tick()
{
    m_parts.queue.tick();
    refuseQueuedCalls(NotExecutedReason::Leaving, [this](const RelayRequest &request) { return isLeaving(request.instance); });
    abortOverdueCalls();
    pollQueue();
}

bool ServingGateway::isLeaving(const std::string &instance) const
{
    const Instance *listed = m_parts.directory.find(instance);
    return listed != nullptr ? listed->draining : m_parts.directory.wasRemoved(instance);
}

void ServingGateway::withdraw(const std::string &sender, TimePoint end)
{
    const std::size_t withdrawn = refuseQueuedCalls(NotExecutedReason::Withdrawn, [&](const RelayRequest &request) {
        return request.senderAddress == sender && request.deadline > end;
    });
    if (withdrawn > 0) {
        m_parts.log.write(EventNumber::RequestsWithdrawn, {sender, std::to_string(withdrawn)});
    }
}

std::size_t ServingGateway::refuseWaiting()
{
    return refuseQueuedCalls(NotExecutedReason::Leaving,
                             [this](const RelayRequest &request) { return !m_parts.mayStart(request.deadline); });
}

std::size_t ServingGateway::refuseQueuedCalls(NotExecutedReason reason, const std::function<bool(const RelayRequest &)> &isConcerned)
{
    std::vector<CallId> refused;
    for (const auto &[id, call] : m_calls) {
        if (!call.running && isConcerned(call.request) && m_parts.queue.withdraw(id)) {
            refused.push_back(id);
        }
    }
    for (const CallId id : refused) {
        finishCall(id, {.result = NotExecuted{.reason = reason}});
    }
    return refused.size();
}

void ServingGateway::abortOverdueCalls()
{
    const TimePoint now = m_parts.clock.now();
    std::vector<CallId> overdue;
    for (const auto &[id, call] : m_calls) {
        if (call.running && now - call.request.deadline >= OverdueTime) {
            overdue.push_back(id);
        }
    }
    for (const CallId id : overdue) {
        const auto found = m_calls.find(id);
        if (found == m_calls.end()) {
            // Cancelled by the handler of another one.
            continue;
        }
        const Call &call = found->second;
        m_parts.metrics.count(RelayCounter::Overdue);
        m_parts.log.writeDecision(EventNumber::ServerCallOverdue, false, [&] {
            const auto elapsedTime = std::chrono::duration_cast<std::chrono::milliseconds>(now - call.startTime);
            return std::vector<std::string>{requestId(call.request), call.request.route, call.request.instance,
                                            std::to_string(elapsedTime.count())};
        });
        abortRunningCall(id, call);
        finishCall(id, {.result = OutcomeUnknown{}});
    }
}

void ServingGateway::abortRunningCall(CallId id, const Call &call)
{
    call.exchange->cancel();
    m_parts.crashGuard.onAbandoned(id);
    m_parts.queue.finish(id, false);
    m_parts.runningRequests.onRequestEnded(requestId(call.request));
}

void ServingGateway::startCall(CallId id)
{
    Call &call = m_calls.at(id);
    const RequestKey fingerprint = call.request.fingerprint();
    const bool isTrialServer = m_parts.crashGuard.isTrialDue(fingerprint) && isTrialInstance(call.request.instance, fingerprint);
    const CrashGuardDecision decision = m_parts.crashGuard.tryStart(id, fingerprint, isTrialServer);
    if (decision == CrashGuardDecision::Refuse || decision == CrashGuardDecision::Wait) {
        // If two suspects ran at the same time, it would be unclear which of them crashes the backend server. The second one is sent to
        // another instance.
        const NotExecutedReason reason
            = decision == CrashGuardDecision::Refuse ? NotExecutedReason::SuspectedOfCrash : NotExecutedReason::Overloaded;
        m_parts.queue.finish(id, false);
        asio::post(m_parts.context, [this, id, reason] { finishCall(id, {.result = NotExecuted{.reason = reason}}); });
        return;
    }
    const HeaderNames &names = m_parts.settings.headers;
    const auto remainingTime = std::chrono::floor<std::chrono::milliseconds>(call.request.deadline - m_parts.clock.now());
    HttpHeaders extra;
    extra.add(names.deadline, std::to_string(std::max<std::int64_t>(1, remainingTime.count())));
    extra.add(names.expectedInstance, call.request.instance);
    extra.add(names.callerService, call.request.callerService);
    call.running = true;
    call.startTime = m_parts.clock.now();
    m_parts.runningRequests.onRequestStarted(requestId(call.request),
                                             {.route = call.request.route,
                                              .priority = call.request.priority,
                                              .isRetry = call.request.isRetry,
                                              .workspace = call.request.workspace});
    call.exchange = m_server.send(call.request.http, std::move(extra),
                                  [this, id](tl::expected<HttpResponse, ExchangeError> result) { onServerResult(id, std::move(result)); });
}

bool ServingGateway::isTrialInstance(const std::string &instance, const RequestKey &fingerprint) const
{
    const Instance *listed = m_parts.directory.find(instance);
    return listed != nullptr && trialServer(m_parts.directory.instancesOf(listed->service), fingerprint) == listed;
}

void ServingGateway::onServerResult(CallId id, tl::expected<HttpResponse, ExchangeError> result)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    reportToCrashGuard(id, result);
    if (result) {
        updateLoad(result->headers.find(m_parts.settings.headers.instanceLoad));
        result->headers.remove(m_parts.settings.headers.instanceLoad);
    }
    if (result && result->status == MisdirectedStatus) {
        m_misdirectedUntil[found->second.request.instance] = m_parts.clock.now() + MisdirectedExpiry;
    }
    AttemptOutcome outcome = classifyResult(std::move(result));
    const auto *serverResponse = std::get_if<ServerResponse>(&outcome.result);
    const bool completed = serverResponse != nullptr && serverResponse->response.status < 500;
    if (completed) {
        const Duration elapsedTime = m_parts.clock.now() - found->second.startTime;
        m_parts.metrics.recordExecutionTime(elapsedTime);
        if (m_parts.observer != nullptr) {
            m_parts.observer->onLocalExecutionSucceeded(found->second.request.route, elapsedTime);
        }
    }
    m_parts.queue.finish(id, completed);
    m_parts.runningRequests.onRequestEnded(requestId(found->second.request));
    finishCall(id, std::move(outcome));
    pollQueue();
}

void ServingGateway::reportToCrashGuard(CallId id, const tl::expected<HttpResponse, ExchangeError> &result)
{
    if (result) {
        m_parts.crashGuard.onCompleted(id);
    } else if (result.error() == ExchangeError::NotProcessed) {
        m_parts.crashGuard.onAbandoned(id);
        m_parts.crashGuard.onConnectionRefused();
    } else if (result.error() == ExchangeError::Interrupted) {
        m_parts.crashGuard.onConnectionBroken(id);
        confirmCrash();
    } else {
        // This side closed the connection: the backend server runs.
        m_parts.crashGuard.onAbandoned(id);
    }
}

void ServingGateway::confirmCrash()
{
    if (m_probePending || !m_parts.crashGuard.awaitsConfirmation()) {
        return;
    }
    m_probePending = true;
    m_server.probe([this, alive = std::weak_ptr<const bool>(m_alive)](bool accepted) {
        if (alive.expired()) {
            return;
        }
        m_probePending = false;
        if (accepted) {
            m_parts.crashGuard.onConnectionAccepted();
        } else {
            m_parts.crashGuard.onConnectionRefused();
        }
    });
}

AttemptOutcome ServingGateway::classifyResult(tl::expected<HttpResponse, ExchangeError> result) const
{
    if (!result) {
        if (result.error() == ExchangeError::NotProcessed) {
            return {.result = NotExecuted{.reason = NotExecutedReason::Unreachable, .evidence = NotExecutedEvidence::ServerNotConnected}};
        }
        return {.result = OutcomeUnknown{}};
    }
    const HeaderNames &names = m_parts.settings.headers;
    if (result->status == MisdirectedStatus) {
        return {.result = NotExecuted{.reason = NotExecutedReason::OtherInstance, .evidence = NotExecutedEvidence::ServerMisdirected}};
    }
    if (result->headers.contains(names.notExecuted)) {
        return {.result = NotExecuted{.reason = NotExecutedReason::RefusedByServer, .evidence = NotExecutedEvidence::ServerField}};
    }
    // A response without the origin header, or with a content coding that was not requested, was not generated by the backend server for
    // this request. One with a status that stands for requests that have not run, but without the field that says so, proves nothing.
    const bool lacksProof = promisesNoExecution(result->status);
    const bool lacksOrigin = !names.responseOrigin.empty() && !result->headers.contains(names.responseOrigin);
    if (lacksProof || lacksOrigin || result->headers.contains("content-encoding")) {
        return {.result = OutcomeUnknown{}};
    }
    return {.result = ServerResponse{.response = std::move(*result)}};
}

void ServingGateway::finishCall(CallId id, AttemptOutcome outcome)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    m_calls.erase(found);
    outcome.report = servingReportFor(call.request.route);
    if (call.handler) {
        call.handler(std::move(outcome));
    }
}

std::string ServingGateway::requestId(const RelayRequest &request) const
{
    return std::string(request.http->headers.find(m_parts.settings.headers.requestId));
}

bool ServingGateway::isMisdirected(const std::string &instance) const
{
    const auto found = m_misdirectedUntil.find(instance);
    return found != m_misdirectedUntil.end() && m_parts.clock.now() < found->second;
}

void ServingGateway::updateLoad(std::string_view load)
{
    // Running and waiting requests and the slots, and the slowdown if the backend server tells it.
    constexpr std::size_t SlotsPosition = 2;
    constexpr std::size_t SlowdownPosition = 3;
    std::array<std::uint32_t, SlowdownPosition + 1> figures{};
    std::size_t count = 0;
    for (; count < figures.size() && !load.empty(); ++count) {
        const auto [end, error] = std::from_chars(load.data(), load.data() + load.size(), figures.at(count));
        if (error != std::errc()) {
            break;
        }
        load.remove_prefix(static_cast<std::size_t>(end - load.data()));
        const bool continues = load.starts_with(',');
        load.remove_prefix(continues ? 1 : 0);
        if (!continues) {
            ++count;
            break;
        }
    }
    if (count > SlotsPosition && figures[SlotsPosition] > 0) {
        m_parts.queue.setSlots(figures[SlotsPosition]);
    }
    if (count > SlowdownPosition && figures[SlowdownPosition] > 0) {
        m_slowdownPercent = figures[SlowdownPosition];
        m_parts.queue.setSlowdown(m_slowdownPercent);
    }
}

ServingReport ServingGateway::servingReportFor(const std::string &route) const
{
    ServingReport report = m_parts.queue.report();
    for (const std::string &callee : m_parts.runningRequests.calleesOf(route)) {
        report.pressure = std::max(report.pressure, m_parts.routePressure.pressureOf(callee));
    }
    report.configurationVersion = m_parts.configurationVersion();
    report.leaving = m_parts.leaving;
    report.slowdownPercent = m_slowdownPercent;
    return report;
}

} // namespace wisteriafork
