#include "lab/model/modelnode.h"

#include "lab/model/model.h"

#include <utility>

namespace wisteriafork::lab {

namespace {

AttemptFailure failureOf(const Reply &reply)
{
    switch (reply.kind) {
    case ReplyKind::NotSent:
        return AttemptFailure::NotSent;
    case ReplyKind::Broken:
        return AttemptFailure::Unknown;
    case ReplyKind::Refused:
        return reply.refusal.reason == RefusalReason::Draining ? AttemptFailure::RefusedNotRun : AttemptFailure::RefusedForLoad;
    case ReplyKind::Complete:
    case ReplyKind::FailedBelow:
        break;
    }
    return AttemptFailure::FailedBelow;
}

} // namespace

ModelNode::ModelNode(Model &model, std::size_t service, const MemberInfo &self)
    : m_model(model)
    , m_service(service)
    , m_self(self)
    , m_admission(model.options().admission, model.clock())
    , m_gate(model.options().gate, model.clock())
    , m_router(model.options().router, self.domain, model.clock(), model.random())
    , m_retry(model.options().retry, model.random())
    , m_server(model.graph().services[service], model.events(), model.random(), hooks())
{
}

ModelNode::~ModelNode()
{
    // A call below holds the handler of its reply, which holds the call that waits for it.
    for (const auto &[id, call] : m_served) {
        call->child = nullptr;
    }
}

void ModelNode::configure(const std::vector<ServiceConfiguration> &services, const std::vector<std::vector<RouteCandidate>> &candidates)
{
    m_admission.configure(services[m_service], {});
    for (std::size_t service = 0; service < services.size(); ++service) {
        m_router.update(services[service].id, candidates[service]);
    }
}

void ModelNode::enter(const Outgoing &call)
{
    const bool fromCaller = !call->call.internal;
    if (fromCaller) {
        call->call.attemptsLeft = m_retry.initialAttempts();
    }
    call->budget = m_retry.budgetOf(call->call);
    m_retry.freshCall();
    if (m_model.options().deadlinesEnabled) {
        m_gate.classify(call->call);
        if (const std::optional<Refusal> refusal = m_gate.check(call->call)) {
            refuse(call, *refusal);
            return;
        }
    }
    if (const std::optional<Refusal> refusal = m_gate.startWaiting(call->call)) {
        refuse(call, *refusal);
        return;
    }
    call->waiting = true;
    forward(call);
}

void ModelNode::cancelOutgoing(const Outgoing &call)
{
    if (call->ended) {
        return;
    }
    call->ended = true;
    if (call->waiting) {
        m_gate.stopWaiting(call->call);
    }
    m_attribution.childEnded(call->call.id, m_model.now());
    if (call->attempt == 0) {
        return;
    }
    m_router.failed(call->call.service, m_model.node(call->target).self().name);
    m_model.deliver(m_self.domain, m_model.node(call->target).self().domain,
                    [&model = m_model, target = call->target, id = call->attempt] { model.node(target).cancelServed(id); });
}

void ModelNode::serve(const Served &call)
{
    m_served[call->call.id] = call;
    if (!m_model.options().admissionEnabled) {
        run(call);
        return;
    }
    if (const std::optional<Refusal> refusal = m_gate.checkBelow(call->call)) {
        answer(call, ReplyKind::Refused, *refusal);
        return;
    }
    const AdmissionResult result = m_admission.offer(call->call);
    if (result.verdict == AdmissionVerdict::Run) {
        run(call);
    } else if (result.verdict == AdmissionVerdict::Refused) {
        answer(call, ReplyKind::Refused, result.refusal);
    }
}

void ModelNode::cancelServed(CallId id)
{
    const auto found = m_served.find(id);
    if (found == m_served.end()) {
        return;
    }
    const Served call = found->second;
    m_served.erase(found);
    m_attribution.finished(id, m_model.now());
    if (m_admission.cancel(id)) {
        m_server.cancel(call);
    }
    call->ended = true;
    poll();
}

void ModelNode::tick()
{
    m_admission.serverLoadRead(m_server.reportedRunning(), m_server.slots());
    poll();
}

void ModelNode::serverRestarted()
{
    m_server.restart();
    m_admission.serverRestarted();
}

ServerHooks ModelNode::hooks()
{
    return {.callBelow = [this](const ServedCall &parent, const CallTree &place,
                                std::function<void(const Reply &)> reply) { return callBelow(parent, place, std::move(reply)); },
            .cancelBelow = [this](const Outgoing &call) { cancelOutgoing(call); },
            .ended = [this](const Served &call, ReplyKind kind) { serverEnded(call, kind); },
            .worked =
                [this](RequestSend &send, Duration work) {
                    m_model.noteWork(send, work);
                }};
}

std::shared_ptr<OutgoingCall> ModelNode::callBelow(const ServedCall &parent, const CallTree &place,
                                                   std::function<void(const Reply &)> reply)
{
    auto call = std::make_shared<OutgoingCall>();
    call->call.id = m_model.nextCallId();
    call->call.service = m_model.serviceId(place.service);
    call->call.operation = m_model.operationId(place);
    call->call.idempotent = m_model.graph().services[place.service].operations[place.operation].idempotent;
    call->call.deadline = parent.call.deadline;
    call->place = &place;
    call->send = parent.send;
    call->reply = std::move(reply);
    m_attribution.attribute(call->call, {.requestId = parent.call.requestId, .traceId = {}}, m_model.now());
    ++m_model.current().internalCalls;
    // The server continues in a later event, so that the handle is set before a reply arrives.
    m_model.events().after(Duration(0), [this, call] {
        if (!call->ended) {
            enter(call);
        }
    });
    return call;
}

void ModelNode::forward(const Outgoing &call)
{
    const DomainId *avoid = nullptr;
    DomainId failedDomain;
    if (call->retries > 0) {
        failedDomain = m_model.node(call->target).self().domain;
        avoid = &failedDomain;
    }
    const std::optional<RouteChoice> choice = m_router.choose(call->call.service, call->tried, avoid);
    if (!choice) {
        conclude(call,
                 {.kind = ReplyKind::Refused, .refusal = {.kind = RefusalKind::NotRun, .reason = RefusalReason::NoInstance}, .load = {}});
        return;
    }
    sendAttempt(call, m_model.nodeIndex(choice->node));
}

void ModelNode::sendAttempt(const Outgoing &call, std::size_t target)
{
    call->target = target;
    call->attempt = m_model.nextCallId();
    call->attemptSent = m_model.now();
    call->tried.push_back(m_model.node(target).self().name);
    m_router.sent(call->call.service, call->tried.back());
    auto served = std::make_shared<ServedCall>();
    served->call = call->call;
    served->call.id = call->attempt;
    served->call.origin = CallOrigin::Peer;
    served->call.attemptsLeft = call->budget.startAttempt();
    served->place = call->place;
    served->send = call->send;
    const DomainId here = m_self.domain;
    const DomainId there = m_model.node(target).self().domain;
    served->reply = [this, call, attempt = call->attempt, here, there](const Reply &reply) {
        m_model.deliver(there, here, [this, call, attempt, reply] { attemptEnded(call, attempt, reply); });
    };
    m_model.deliver(here, there, [&model = m_model, target, served] { model.node(target).serve(served); });
}

void ModelNode::attemptEnded(const Outgoing &call, CallId attempt, const Reply &reply)
{
    if (call->ended || call->attempt != attempt) {
        return;
    }
    const NodeId &target = m_model.node(call->target).self().name;
    if (reply.kind == ReplyKind::Broken || reply.kind == ReplyKind::NotSent) {
        m_router.failed(call->call.service, target);
    } else {
        const Duration elapsed = m_model.now() - call->attemptSent;
        m_router.answered(call->call.service, target, reply.load, elapsed);
        const OperationId parent = m_attribution.parentOperation(call->call.id);
        m_gate.learn(call->call, parent, reply.load, elapsed, reply.kind == ReplyKind::Complete);
    }
    call->attempt = 0;
    if (reply.kind == ReplyKind::Complete || !retry(call, reply)) {
        conclude(call, reply);
    }
}

bool ModelNode::retry(const Outgoing &call, const Reply &reply)
{
    const Duration remaining = call->call.deadline - m_model.now();
    const std::optional<Duration> delay = m_retry.decide(call->call, call->budget, failureOf(reply), call->retries, remaining);
    if (!delay) {
        return false;
    }
    ++call->retries;
    m_model.events().after(*delay, [this, call] {
        if (!call->ended) {
            forward(call);
        }
    });
    return true;
}

void ModelNode::conclude(const Outgoing &call, const Reply &reply)
{
    call->ended = true;
    m_gate.stopWaiting(call->call);
    m_attribution.childEnded(call->call.id, m_model.now());
    if (call->call.internal && reply.kind == ReplyKind::Refused) {
        ++m_model.current().internalShed;
    }
    call->reply(reply);
}

void ModelNode::refuse(const Outgoing &call, const Refusal &refusal)
{
    call->ended = true;
    m_attribution.childEnded(call->call.id, m_model.now());
    if (call->call.internal) {
        ++m_model.current().internalShed;
    } else {
        ++m_model.current().refusedAtEdge;
        m_model.noteRefused(call->call);
    }
    call->reply({.kind = ReplyKind::Refused, .refusal = refusal, .load = {}});
}

void ModelNode::run(const Served &call)
{
    noteServed(call);
    const auto calls = static_cast<std::uint32_t>(call->place->children.size());
    m_attribution.started(call->call, {}, calls);
    if (!m_server.accept(call)) {
        serverEnded(call, ReplyKind::Refused);
    }
}

void ModelNode::poll()
{
    bool again = false;
    for (const AdmissionResult &result : m_admission.poll()) {
        const auto found = m_served.find(result.id);
        if (found == m_served.end()) {
            continue;
        }
        const Served call = found->second;
        if (result.verdict == AdmissionVerdict::Run) {
            if (const std::optional<Refusal> refusal = m_gate.checkBelow(call->call)) {
                // The level below has changed while the call waited.
                m_admission.cancel(result.id);
                answer(call, ReplyKind::Refused, *refusal);
                again = true;
                continue;
            }
            run(call);
        } else {
            answer(call, ReplyKind::Refused, result.refusal);
        }
    }
    if (again) {
        poll();
    }
}

void ModelNode::serverEnded(const Served &call, ReplyKind kind)
{
    const Duration waited = m_attribution.finished(call->call.id, m_model.now());
    const CallOutcome outcome = kind == ReplyKind::Complete ? CallOutcome::Completed
        : kind == ReplyKind::Refused                        ? CallOutcome::Overloaded
                                                            : CallOutcome::Failed;
    m_admission.finish(call->call.id, outcome, waited);
    const bool wasServed = m_served.contains(call->call.id);
    if (wasServed) {
        answer(call, kind, {.kind = RefusalKind::NotRun, .reason = RefusalReason::Overloaded});
    }
    poll();
}

void ModelNode::answer(const Served &call, ReplyKind kind, const Refusal &refusal)
{
    call->ended = true;
    m_served.erase(call->call.id);
    if (kind == ReplyKind::Refused && refusal.reason != RefusalReason::NoInstance) {
        m_model.noteRefused(call->call);
    }
    call->reply({.kind = kind, .refusal = refusal, .load = load(call->call.operation)});
}

void ModelNode::noteServed(const Served &call)
{
    m_model.noteRun(*call->send, *call->place);
    if (call->call.callClass != CallClass::Critical) {
        m_model.noteReadAdmitted(m_service);
    }
}

LoadReport ModelNode::load(const OperationId &operation)
{
    LoadReport report = m_admission.report();
    report.levelBelow = m_gate.levelBelow(operation);
    return report;
}

} // namespace wisteriafork::lab
