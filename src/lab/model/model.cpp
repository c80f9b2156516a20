#include "lab/model/model.h"

#include "lab/model/modelcallers.h"
#include "lab/model/modelseconds.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

namespace wisteriafork::lab {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
// A critical call that is refused this long after a read was admitted counts as refused beside reads.
constexpr Duration BesideReads = std::chrono::milliseconds(100);

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

} // namespace

class Model::Private
{
public:
    Private(GraphSpec graphSpec, ModelOptions modelOptions, std::uint64_t seed)
        : graph(std::move(graphSpec)), options(modelOptions), random(seed)
    {
    }

    void buildNodes(Model &model);
    void tick();
    double uniform();
    Duration linkDelay(const DomainId &from, const DomainId &to);

    GraphSpec graph;
    ModelOptions options;
    RandomEngine random;
    EventQueue events;
    TimePoint start = events.now();
    ModelMetrics metrics;
    std::vector<std::unique_ptr<ModelNode>> nodes;
    std::unordered_map<NodeId, std::size_t> nodeIndexes;
    std::vector<ServiceConfiguration> configuration;
    std::vector<TimePoint> readAdmitted;
    CallId lastCallId = 0;
    std::optional<ModelCallers> callers;
};

Model::Model(GraphSpec graph, ModelOptions options, CallerLoad load, std::uint64_t seed)
    : m_d(std::make_unique<Private>(std::move(graph), options, seed))
{
    m_d->configuration = configurationOf(m_d->graph);
    m_d->readAdmitted.resize(m_d->graph.services.size());
    m_d->buildNodes(*this);
    m_d->callers.emplace(*this, load);
    m_d->callers->start();
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
