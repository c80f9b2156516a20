#include "lab/model/modelcallers.h"

#include "lab/model/model.h"
#include "lab/model/modelseconds.h"

#include <random>

namespace wisteriafork::lab {

namespace {

CallTree treeOf(const GraphSpec &graph, std::size_t service, std::size_t operation, std::size_t &count)
{
    CallTree tree{.service = service, .operation = operation, .index = count++, .children = {}};
    for (const CallSpec &call : graph.services[service].operations[operation].calls) {
        tree.children.push_back(treeOf(graph, call.service, call.operation, count));
    }
    return tree;
}

const OperationSpec &operationAt(const GraphSpec &graph, const CallTree &place)
{
    return graph.services[place.service].operations[place.operation];
}

} // namespace

ModelCallers::ModelCallers(Model &model, CallerLoad load) : m_model(model), m_load(load), m_start(model.now())
{
    for (const EntrySpec &entry : model.graph().entries) {
        std::size_t count = 0;
        m_trees.push_back(treeOf(model.graph(), entry.service, entry.operation, count));
        m_treeSizes.push_back(count);
    }
}

void ModelCallers::start()
{
    beginRequests();
}

// Poisson arrivals, with the rate of the time at which the next request is drawn.
void ModelCallers::beginRequests()
{
    const Duration passed = m_model.now() - m_start;
    const double rate = passed >= m_load.surgeStart && passed < m_load.surgeEnd ? m_load.surgeRate : m_load.baseRate;
    std::exponential_distribution<double> gap(rate);
    m_model.events().after(fromSeconds(gap(m_model.random())), [this] {
        begin();
        beginRequests();
    });
}

std::size_t ModelCallers::drawEntry()
{
    const std::vector<EntrySpec> &entries = m_model.graph().entries;
    double draw = std::uniform_real_distribution<double>(0.0, 1.0)(m_model.random());
    double shares = 0.0;
    for (const EntrySpec &spec : entries) {
        shares += spec.share;
    }
    draw *= shares;
    std::size_t entry = 0;
    while (entry + 1 < entries.size() && draw >= entries[entry].share) {
        draw -= entries[entry].share;
        ++entry;
    }
    return entry;
}

void ModelCallers::begin()
{
    const std::size_t entry = drawEntry();
    auto request = std::make_shared<CallerRequest>();
    request->tree = &m_trees[entry];
    request->callClass = operationAt(m_model.graph(), m_trees[entry]).callClass;
    request->number = ++m_lastRequest;
    request->callerHash = m_model.random()() % m_load.callers;
    request->firstSent = m_model.now();
    request->domain = m_model.random()() % m_model.graph().domains.size();
    request->runs.resize(m_treeSizes[entry]);
    ++m_model.current().begun;
    send(request);
}

void ModelCallers::send(const std::shared_ptr<CallerRequest> &request)
{
    auto attempt = std::make_shared<RequestSend>();
    attempt->request = request;
    attempt->sent = m_model.now();
    attempt->runs.resize(request->runs.size());
    const std::shared_ptr<OutgoingCall> call = callOf(attempt);
    const std::size_t entry = m_model.random()() % m_model.nodeCount();
    ++m_model.current().sends;
    EventQueue &events = m_model.events();
    const GraphSpec &graph = m_model.graph();
    call->reply = [this, attempt](const Reply &reply) {
        m_model.events().after(m_model.graph().callerDelay,
                               [this, attempt, complete = reply.kind == ReplyKind::Complete] { sendEnded(attempt, complete, false); });
    };
    events.after(graph.callerDelay, [this, entry, call] { m_model.node(entry).enter(call); });
    events.after(graph.callerWait, [this, attempt, entry, call] {
        if (!attempt->concluded) {
            sendEnded(attempt, false, true);
            if (m_model.options().deadlinesEnabled) {
                m_model.node(entry).cancelOutgoing(call);
            }
        }
    });
}

std::shared_ptr<OutgoingCall> ModelCallers::callOf(const std::shared_ptr<RequestSend> &attempt)
{
    const CallerRequest &request = *attempt->request;
    const CallTree &place = *request.tree;
    auto call = std::make_shared<OutgoingCall>();
    call->call.id = m_model.nextCallId();
    call->call.requestId = std::to_string(request.number) + "." + std::to_string(call->call.id);
    call->call.service = m_model.serviceId(place.service);
    call->call.operation = m_model.operationId(place);
    call->call.callClass = request.callClass;
    call->call.idempotent = operationAt(m_model.graph(), place).idempotent;
    call->call.callerHash = request.callerHash;
    // A multiplicative hash of the request's number: fixed over its sends and over its chain.
    call->call.requestHash = request.number * 0x9e3779b97f4a7c15ULL;
    call->call.deadline = m_model.now() + m_model.graph().callerWait;
    call->place = &place;
    call->send = attempt;
    return call;
}

void ModelCallers::sendEnded(const std::shared_ptr<RequestSend> &attempt, bool complete, bool timedOut)
{
    if (attempt->concluded) {
        return;
    }
    attempt->concluded = true;
    attempt->complete = complete;
    ModelInterval &interval = m_model.current();
    const std::shared_ptr<CallerRequest> request = attempt->request;
    if (complete) {
        ++interval.complete;
        interval.latency += seconds(m_model.now() - attempt->sent);
        request->complete = true;
        return;
    }
    interval.wasted += seconds(attempt->work);
    const GraphSpec &graph = m_model.graph();
    const Duration turnaround = timedOut ? Duration(0) : graph.resendTurnaround;
    if (m_model.now() + turnaround - request->firstSent < graph.resendTime) {
        m_model.events().after(turnaround, [this, request] { send(request); });
    }
}

} // namespace wisteriafork::lab
