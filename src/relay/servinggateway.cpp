#include "relay/servinggateway.h"

#include <algorithm>
#include <charconv>

namespace wisteriafork {

namespace {

constexpr unsigned MisdirectedStatus = 421;
// Time for which requests for an instance that is not at this address any more are refused without asking. An instance may start again
// under its old name.
constexpr Duration MisdirectedMemory = std::chrono::milliseconds(1000);

ServingRequest servingRequest(CallId id, const RelayRequest &request)
{
    return {.id = id,
            .route = request.route,
            .inner = request.inner,
            .priority = request.priority,
            .deadline = request.deadline,
            .targetLatency = request.targetLatency};
}

NotRunReason reasonOf(ServingDecision verdict)
{
    return verdict == ServingDecision::RefuseLate ? NotRunReason::TooLate : NotRunReason::Overloaded;
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
        asio::post(m_parts.context, [this, id] { finish(id, {.result = NotRun{.reason = NotRunReason::OtherInstance}}); });
        return id;
    }
    if (isLeaving(m_calls.at(id).request.instance)) {
        asio::post(m_parts.context, [this, id] { finish(id, {.result = NotRun{.reason = NotRunReason::Leaving}}); });
        return id;
    }
    const ServingDecision verdict = m_parts.queue.offer(offered);
    if (verdict == ServingDecision::Start) {
        start(id);
    } else if (verdict != ServingDecision::Wait) {
        asio::post(m_parts.context, [this, id, verdict] { finish(id, {.result = NotRun{.reason = reasonOf(verdict)}}); });
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
        call.exchange->cancel();
        m_parts.crashGuard.onAbandoned(id);
        m_parts.queue.finish(id, false);
        m_parts.running.onRequestEnded(requestId(call.request));
    } else {
        m_parts.queue.withdraw(id);
    }
    m_calls.erase(found);
    poll();
}

void ServingGateway::poll()
{
    for (const ServingQueue::Change &change : m_parts.queue.poll()) {
        if (change.decision == ServingDecision::Start) {
            start(change.id);
        } else {
            finish(change.id, {.result = NotRun{.reason = reasonOf(change.decision)}});
        }
    }
}

void ServingGateway::tick()
{
    m_parts.queue.tick();
    refuseForLeavingInstances();
    poll();
}

bool ServingGateway::isLeaving(const std::string &instance) const
{
    const Instance *listed = m_parts.directory.find(instance);
    return listed != nullptr && listed->draining;
}

void ServingGateway::refuseForLeavingInstances()
{
    std::vector<CallId> refused;
    for (const auto &[id, call] : m_calls) {
        if (!call.running && isLeaving(call.request.instance) && m_parts.queue.withdraw(id)) {
            refused.push_back(id);
        }
    }
    for (const CallId id : refused) {
        finish(id, {.result = NotRun{.reason = NotRunReason::Leaving}});
    }
}

void ServingGateway::start(CallId id)
{
    Call &call = m_calls.at(id);
    const CrashGuardDecision verdict = m_parts.crashGuard.tryStart(id, call.request.fingerprint());
    if (verdict == CrashGuardDecision::Refuse || verdict == CrashGuardDecision::Wait) {
        // A suspect beside another one would make it unclear which of them crashes the backend server; it is sent elsewhere.
        const NotRunReason reason = verdict == CrashGuardDecision::Refuse ? NotRunReason::SuspectedOfCrash : NotRunReason::Overloaded;
        m_parts.queue.finish(id, false);
        asio::post(m_parts.context, [this, id, reason] { finish(id, {.result = NotRun{.reason = reason}}); });
        return;
    }
    const HeaderNames &names = m_parts.settings.headers;
    const auto left = std::chrono::floor<std::chrono::milliseconds>(call.request.deadline - m_parts.clock.now());
    HttpHeaders extra;
    extra.add(names.deadline, std::to_string(std::max<std::int64_t>(1, left.count())));
    extra.add(names.expectedInstance, call.request.instance);
    extra.add(names.callerService, call.request.callerService);
    call.running = true;
    call.started = m_parts.clock.now();
    m_parts.running.onRequestStarted(requestId(call.request),
                                     {.route = call.request.route, .priority = call.request.priority, .repeat = call.request.repeat});
    call.exchange = m_server.send(call.request.http, std::move(extra),
                                  [this, id](tl::expected<HttpResponse, ExchangeError> result) { answered(id, std::move(result)); });
}

void ServingGateway::answered(CallId id, tl::expected<HttpResponse, ExchangeError> result)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    noteForCrashGuard(id, result);
    if (result) {
        learnSlots(result->headers.find(m_parts.settings.headers.instanceLoad));
        result->headers.remove(m_parts.settings.headers.instanceLoad);
    }
    if (result && result->status == MisdirectedStatus) {
        m_misdirected[found->second.request.instance] = m_parts.clock.now() + MisdirectedMemory;
    }
    AttemptOutcome outcome = evaluate(std::move(result));
    const auto *answer = std::get_if<ServerAnswer>(&outcome.result);
    const bool completed = answer != nullptr && answer->response.status < 500;
    if (completed) {
        const Duration took = m_parts.clock.now() - found->second.started;
        m_parts.metrics.ran(took);
        if (m_parts.observer != nullptr) {
            m_parts.observer->onLocalRunSucceeded(found->second.request.route, took);
        }
    }
    m_parts.queue.finish(id, completed);
    m_parts.running.onRequestEnded(requestId(found->second.request));
    finish(id, std::move(outcome));
    poll();
}

void ServingGateway::noteForCrashGuard(CallId id, const tl::expected<HttpResponse, ExchangeError> &result)
{
    if (result) {
        m_parts.crashGuard.onCompleted(id);
    } else if (result.error() == ExchangeError::NotProcessed) {
        m_parts.crashGuard.onAbandoned(id);
        m_parts.crashGuard.onConnectionRefused();
    } else {
        m_parts.crashGuard.onConnectionBroken(id);
    }
}

AttemptOutcome ServingGateway::evaluate(tl::expected<HttpResponse, ExchangeError> result) const
{
    if (!result) {
        if (result.error() == ExchangeError::NotProcessed) {
            return {.result = NotRun{.reason = NotRunReason::Unreachable}};
        }
        return {.result = OutcomeUnknown{}};
    }
    const HeaderNames &names = m_parts.settings.headers;
    if (result->status == MisdirectedStatus) {
        return {.result = NotRun{.reason = NotRunReason::OtherInstance}};
    }
    if (result->headers.contains(names.notExecuted)) {
        return {.result = NotRun{.reason = NotRunReason::RefusedByServer}};
    }
    // An answer without the mark, or with a coding that was not asked for, was not made by the backend server for this request.
    const bool unmarked = !names.responseOrigin.empty() && !result->headers.contains(names.responseOrigin);
    if (unmarked || result->headers.contains("content-encoding")) {
        return {.result = OutcomeUnknown{}};
    }
    return {.result = ServerAnswer{.response = std::move(*result)}};
}

void ServingGateway::finish(CallId id, AttemptOutcome outcome)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    m_calls.erase(found);
    outcome.report = reportFor(call.request.route);
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
    const auto found = m_misdirected.find(instance);
    return found != m_misdirected.end() && m_parts.clock.now() < found->second;
}

void ServingGateway::learnSlots(std::string_view load)
{
    const std::size_t comma = load.rfind(',');
    unsigned slots = 0;
    if (comma == std::string_view::npos) {
        return;
    }
    const auto [end, error] = std::from_chars(load.data() + comma + 1, load.data() + load.size(), slots);
    if (error == std::errc() && slots > 0) {
        m_parts.queue.setSlots(slots);
    }
}

ServingReport ServingGateway::reportFor(const std::string &route) const
{
    ServingReport report = m_parts.queue.report();
    for (const std::string &callee : m_parts.running.calleesOf(route)) {
        report.pressure = std::max(report.pressure, m_parts.pressure.pressureOf(callee));
    }
    report.version = m_parts.version();
    report.leaving = m_parts.leaving;
    return report;
}

} // namespace wisteriafork
