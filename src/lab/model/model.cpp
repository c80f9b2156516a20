#include "lab/model/model.h"

#include <algorithm>
#include <random>
#include <utility>

namespace wisteriafork::lab {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
// A critical call that is refused this long after a read was admitted counts as refused beside reads.
constexpr Duration BesideReads = std::chrono::milliseconds(100);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

std::vector<ServiceConfiguration> configurationOf(const GraphSpec &graph)
{
    std::vector<ServiceConfiguration> services;
    for (const ServiceSpec &spec : graph.services) {
        ServiceConfiguration service;
        service.id = ServiceId(spec.id);
        service.slots = spec.slots;
        service.connections = spec.connections;
        for (const OperationSpec &operationSpec : spec.operations) {
            OperationConfiguration operation;
            operation.id = OperationId(operationSpec.id);
            operation.callClass = operationSpec.callClass;
            operation.idempotent = operationSpec.idempotent;
            operation.callerWait = std::chrono::duration_cast<std::chrono::milliseconds>(graph.callerWait);
            operation.resendTime = std::chrono::duration_cast<std::chrono::milliseconds>(graph.resendTime);
            for (const CallSpec &call : operationSpec.calls) {
                operation.calls.emplace_back(graph.services[call.service].id);
            }
            service.operations.push_back(operation);
        }
        services.push_back(service);
    }
    return services;
}

CallTree treeOf(const GraphSpec &graph, std::size_t service, std::size_t operation, std::size_t &count)
{
    CallTree tree{.service = service, .operation = operation, .index = count++, .children = {}};
    for (const CallSpec &call : graph.services[service].operations[operation].calls) {
        tree.children.push_back(treeOf(graph, call.service, call.operation, count));
    }
    return tree;
}

} // namespace

class Model::Private
{
public:
    Private(GraphSpec graphSpec, ModelOptions modelOptions, CallerLoad callerLoad, std::uint64_t seed)
        : graph(std::move(graphSpec)), options(modelOptions), load(callerLoad), random(seed)
    {
    }

    void buildNodes(Model &model);
    void beginRequests();
    void begin();
    void send(const std::shared_ptr<CallerRequest> &request);
    void sendEnded(const std::shared_ptr<RequestSend> &attempt, bool complete, bool timedOut);
    void tick();
    double uniform();
    Duration linkDelay(const DomainId &from, const DomainId &to);

    GraphSpec graph;
    ModelOptions options;
    CallerLoad load;
    RandomEngine random;
    EventQueue events;
    TimePoint start = events.now();
    ModelMetrics metrics;
    std::vector<std::unique_ptr<ModelNode>> nodes;
    std::unordered_map<NodeId, std::size_t> nodeIndexes;
    std::vector<ServiceConfiguration> configuration;
    std::vector<CallTree> trees;
    std::vector<std::size_t> treeSizes;
    std::vector<TimePoint> readAdmitted;
    CallId lastCallId = 0;
    std::uint64_t lastRequest = 0;
};

Model::Model(GraphSpec graph, ModelOptions options, CallerLoad load, std::uint64_t seed)
    : m_d(std::make_unique<Private>(std::move(graph), options, load, seed))
{
    m_d->configuration = configurationOf(m_d->graph);
    for (const EntrySpec &entry : m_d->graph.entries) {
        std::size_t count = 0;
        m_d->trees.push_back(treeOf(m_d->graph, entry.service, entry.operation, count));
        m_d->treeSizes.push_back(count);
    }
    m_d->readAdmitted.resize(m_d->graph.services.size());
    m_d->buildNodes(*this);
    m_d->beginRequests();
    m_d->tick();
}

Model::~Model() = default;

void Model::at(Duration time, std::function<void(Model &)> change)
{
    m_d->events.after(m_d->start + time - m_d->events.now(), [this, change = std::move(change)] { change(*this); });
}

const ModelMetrics &Model::run(Duration end)
{
    m_d->events.runUntil(m_d->start + end);
    m_d->metrics.events = m_d->events.eventsRun();
    return m_d->metrics;
}

void Model::slowDown(std::size_t service, double factor)
{
    for (const std::unique_ptr<ModelNode> &entry : m_d->nodes) {
        if (entry->self().service == serviceId(service)) {
            entry->server().setSlowdown(factor);
        }
    }
}

void Model::setLoadEndpoints(LoadEndpoint mode)
{
    for (const std::unique_ptr<ModelNode> &entry : m_d->nodes) {
        entry->server().setLoadEndpoint(mode);
    }
}

const GraphSpec &Model::graph() const
{
    return m_d->graph;
}

const ModelOptions &Model::options() const
{
    return m_d->options;
}

const Clock &Model::clock() const
{
    return m_d->events.clock();
}

TimePoint Model::now() const
{
    return m_d->events.now();
}

EventQueue &Model::events()
{
    return m_d->events;
}

RandomEngine &Model::random()
{
    return m_d->random;
}

ModelNode &Model::node(std::size_t index)
{
    return *m_d->nodes[index];
}

std::size_t Model::nodeCount() const
{
    return m_d->nodes.size();
}

std::size_t Model::nodeIndex(const NodeId &name) const
{
    return m_d->nodeIndexes.at(name);
}

const ServiceId &Model::serviceId(std::size_t service) const
{
    return m_d->configuration[service].id;
}

const OperationId &Model::operationId(const CallTree &place) const
{
    return m_d->configuration[place.service].operations[place.operation].id;
}

CallId Model::nextCallId()
{
    return ++m_d->lastCallId;
}

void Model::deliver(const DomainId &from, const DomainId &to, std::function<void()> handler)
{
    m_d->events.after(m_d->linkDelay(from, to), std::move(handler));
}

ModelInterval &Model::current()
{
    const auto index = static_cast<std::size_t>((m_d->events.now() - m_d->start) / m_d->metrics.interval);
    if (m_d->metrics.intervals.size() <= index) {
        m_d->metrics.intervals.resize(index + 1);
    }
    return m_d->metrics.intervals[index];
}

void Model::noteWork(RequestSend &send, Duration work)
{
    send.work += work;
    current().work += seconds(work);
    if (send.concluded && !send.complete) {
        current().wasted += seconds(work);
    }
}

void Model::noteRun(RequestSend &send, const CallTree &place)
{
    ++current().runs;
    if (send.request->runs[place.index]++ == 0) {
        ++current().firstRuns;
    }
    const std::uint64_t runs = ++send.runs[place.index];
    m_d->metrics.mostRunsAtPlace = std::max(m_d->metrics.mostRunsAtPlace, runs);
    std::uint64_t all = 0;
    for (const std::uint16_t count : send.runs) {
        all += count;
    }
    m_d->metrics.mostRunsOfSend = std::max(m_d->metrics.mostRunsOfSend, all);
}

void Model::noteReadAdmitted(std::size_t service)
{
    m_d->readAdmitted[service] = m_d->events.now();
}

void Model::noteRefused(const CallDescription &call)
{
    if (call.callClass != CallClass::Critical) {
        return;
    }
    ++current().criticalsRefused;
    for (std::size_t service = 0; service < m_d->configuration.size(); ++service) {
        if (m_d->configuration[service].id == call.service && m_d->events.now() - m_d->readAdmitted[service] < BesideReads) {
            ++current().criticalsRefusedBesideReads;
        }
    }
}

void Model::Private::buildNodes(Model &model)
{
    std::vector<MemberInfo> members;
    std::vector<std::size_t> services;
    for (std::size_t service = 0; service < graph.services.size(); ++service) {
        for (const std::string &domain : graph.domains) {
            for (std::size_t number = 0; number < graph.services[service].instancesPerDomain; ++number) {
                const std::string name = graph.services[service].id + "-" + domain + "-" + std::to_string(number + 1);
                members.push_back({.name = NodeId(name),
                                   .incarnation = 1,
                                   .service = configuration[service].id,
                                   .domain = DomainId(domain),
                                   .peerAddress = {},
                                   .state = ListedState::Live});
                services.push_back(service);
            }
        }
    }
    std::vector<std::vector<RouteCandidate>> candidates(graph.services.size());
    for (std::size_t index = 0; index < members.size(); ++index) {
        nodes.push_back(std::make_unique<ModelNode>(model, services[index], members[index]));
        nodeIndexes.emplace(members[index].name, index);
        candidates[services[index]].push_back({.member = members[index]});
    }
    for (const std::unique_ptr<ModelNode> &node : nodes) {
        node->configure(configuration, candidates);
    }
}

// Poisson arrivals, with the rate of the time at which the next request is drawn.
void Model::Private::beginRequests()
{
    const Duration passed = events.now() - start;
    const double rate = passed >= load.surgeStart && passed < load.surgeEnd ? load.surgeRate : load.baseRate;
    std::exponential_distribution<double> gap(rate);
    events.after(fromSeconds(gap(random)), [this] {
        begin();
        beginRequests();
    });
}

void Model::Private::begin()
{
    double draw = uniform();
    std::size_t entry = 0;
    double shares = 0.0;
    for (const EntrySpec &spec : graph.entries) {
        shares += spec.share;
    }
    draw *= shares;
    while (entry + 1 < graph.entries.size() && draw >= graph.entries[entry].share) {
        draw -= graph.entries[entry].share;
        ++entry;
    }
    auto request = std::make_shared<CallerRequest>();
    request->tree = &trees[entry];
    request->callClass = graph.services[trees[entry].service].operations[trees[entry].operation].callClass;
    request->number = ++lastRequest;
    request->callerHash = random() % load.callers;
    request->firstSent = events.now();
    request->domain = random() % graph.domains.size();
    request->runs.resize(treeSizes[entry]);
    const auto index = static_cast<std::size_t>((events.now() - start) / metrics.interval);
    metrics.intervals.resize(std::max(metrics.intervals.size(), index + 1));
    ++metrics.intervals[index].begun;
    send(request);
}

void Model::Private::send(const std::shared_ptr<CallerRequest> &request)
{
    auto attempt = std::make_shared<RequestSend>();
    attempt->request = request;
    attempt->sent = events.now();
    attempt->runs.resize(request->runs.size());
    auto call = std::make_shared<OutgoingCall>();
    call->call.id = ++lastCallId;
    call->call.requestId = std::to_string(request->number) + "." + std::to_string(lastCallId);
    call->call.service = configuration[request->tree->service].id;
    call->call.operation = configuration[request->tree->service].operations[request->tree->operation].id;
    call->call.callClass = request->callClass;
    call->call.idempotent = graph.services[request->tree->service].operations[request->tree->operation].idempotent;
    call->call.callerHash = request->callerHash;
    // A multiplicative hash of the request's number: fixed over its sends and over its chain.
    call->call.requestHash = request->number * 0x9e3779b97f4a7c15ULL;
    call->call.deadline = events.now() + graph.callerWait;
    call->place = request->tree;
    call->send = attempt;
    const std::size_t entry = random() % nodes.size();
    ++metrics.intervals.back().sends;
    call->reply = [this, attempt](const Reply &reply) {
        events.after(graph.callerDelay,
                     [this, attempt, complete = reply.kind == ReplyKind::Complete] { sendEnded(attempt, complete, false); });
    };
    events.after(graph.callerDelay, [this, entry, call] { nodes[entry]->enter(call); });
    events.after(graph.callerWait, [this, attempt, entry, call] {
        if (!attempt->concluded) {
            sendEnded(attempt, false, true);
            if (options.deadlinesEnabled) {
                nodes[entry]->cancelOutgoing(call);
            }
        }
    });
}

void Model::Private::sendEnded(const std::shared_ptr<RequestSend> &attempt, bool complete, bool timedOut)
{
    if (attempt->concluded) {
        return;
    }
    attempt->concluded = true;
    attempt->complete = complete;
    const auto index = static_cast<std::size_t>((events.now() - start) / metrics.interval);
    metrics.intervals.resize(std::max(metrics.intervals.size(), index + 1));
    ModelInterval &interval = metrics.intervals[index];
    const std::shared_ptr<CallerRequest> request = attempt->request;
    if (complete) {
        ++interval.complete;
        interval.latency += seconds(events.now() - attempt->sent);
        request->complete = true;
        return;
    }
    interval.wasted += seconds(attempt->work);
    const Duration turnaround = timedOut ? Duration(0) : graph.resendTurnaround;
    if (events.now() + turnaround - request->firstSent < graph.resendTime) {
        events.after(turnaround, [this, request] { send(request); });
    }
}

void Model::Private::tick()
{
    events.after(TickInterval, [this] {
        std::uint64_t queued = 0;
        for (const std::unique_ptr<ModelNode> &node : nodes) {
            node->tick();
            queued += node->queuedCount();
        }
        const auto index = static_cast<std::size_t>((events.now() - start) / metrics.interval);
        metrics.intervals.resize(std::max(metrics.intervals.size(), index + 1));
        metrics.intervals[index].queued = queued;
        tick();
    });
}

double Model::Private::uniform()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

Duration Model::Private::linkDelay(const DomainId &from, const DomainId &to)
{
    const bool local = from == to;
    const double base = seconds(local ? graph.localDelay : graph.domainDelay);
    const double lost = !local && uniform() < graph.lossShare ? seconds(graph.retransmission) : 0.0;
    return fromSeconds(base * (1.0 + uniform()) + lost);
}

} // namespace wisteriafork::lab
