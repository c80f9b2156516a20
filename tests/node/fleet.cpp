#include "node/fleet.h"

#include "core/base/hashing.h"

#include <array>
#include <utility>

namespace wisteriafork::test {

using namespace std::chrono_literals;

struct Fleet::Host
{
    struct Call
    {
        Origin origin;
        CallDescription description;
    };

    MemberInfo self;
    std::unique_ptr<NodeCore> core;
    std::map<CallId, Call> calls;
    CallId nextCall = 1;
    bool alive = true;
    bool serverUp = true;
    bool drained = false;
    std::optional<TimePoint> lastStart;
};

Fleet::Fleet(Options options) : m_options(std::move(options))
{
    for (const MemberInfo &member : m_options.members) {
        NodeOptions node{.self = member, .seed = m_options.seed + m_hosts.size(), .initialConfiguration = m_options.configuration};
        if (m_options.adjust) {
            m_options.adjust(node);
        }
        auto host = std::make_unique<Host>();
        host->self = member;
        host->core = std::make_unique<NodeCore>(std::move(node), m_clock);
        m_hosts.emplace(member.name, std::move(host));
        tick(member.name);
    }
    std::map<std::string, std::vector<MemberInfo>> lists;
    for (const MemberInfo &member : m_options.members) {
        lists[member.service.value()].push_back(member);
    }
    for (const auto &[service, members] : lists) {
        publishHostList(service, members);
    }
}

Fleet::~Fleet() = default;

void Fleet::schedule(Duration delay, std::function<void()> action)
{
    m_queue.emplace(m_clock.now() + delay, std::move(action));
}

void Fleet::run(Duration time)
{
    const TimePoint end = m_clock.now() + time;
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        const auto next = m_queue.begin();
        m_clock.set(std::max(m_clock.now(), next->first));
        const std::function<void()> action = std::move(next->second);
        m_queue.erase(next);
        action();
    }
    m_clock.set(end);
}

Fleet::Host *Fleet::running(const NodeId &node)
{
    const auto found = m_hosts.find(node);
    return found == m_hosts.end() || !found->second->alive ? nullptr : found->second.get();
}

void Fleet::handle(const NodeId &node, const Event &event)
{
    if (Host *host = running(node)) {
        for (const Action &action : host->core->handle(event)) {
            perform(*host, action);
        }
    }
}

void Fleet::tick(const NodeId &node)
{
    schedule(100ms, [this, node] {
        handle(node, Tick{});
        tick(node);
    });
}

std::size_t Fleet::send(const NodeId &node, const std::string &service, const std::string &operation, const std::string &identity)
{
    const std::size_t number = m_results.size();
    m_results.emplace_back();
    Host *host = running(node);
    if (host == nullptr) {
        return number;
    }
    const std::array<std::string_view, 2> parts{operation, identity};
    const bool keyed = operation == "book";
    CallDescription call{.id = host->nextCall++,
                         .origin = CallOrigin::Caller,
                         .requestId = identity,
                         .service = ServiceId(service),
                         .operation = OperationId(operation),
                         .callClass = keyed ? CallClass::Critical : CallClass::Read,
                         .idempotent = !keyed,
                         .callerHash = hash64(identity),
                         .requestHash = hash64(identity, 1),
                         .key = hashParts(parts),
                         .fingerprint = hashParts(parts),
                         .deadline = m_clock.now() + 2s,
                         .attemptsLeft = 3};
    host->calls[call.id] = {.origin = {.callerNumber = number}, .description = call};
    handle(node, CallArrived{.call = call});
    return number;
}

const CallerResult &Fleet::result(std::size_t number) const
{
    return m_results.at(number);
}

void Fleet::perform(Host &host, const Action &action)
{
    std::visit([this, &host](const auto &concrete) { on(host, concrete); }, action);
}

void Fleet::on(Host &host, const RunLocal &action)
{
    const NodeId name = host.self.name;
    const CallId id = action.id;
    if (!host.serverUp) {
        schedule(1ms, [this, name, id] { handle(name, ServerFailed{.id = id, .failure = ServerFailure::ConnectionRefused}); });
        return;
    }
    ++m_executions[host.calls[id].description.requestId];
    host.lastStart = m_clock.now();
    schedule(m_options.serviceTime, [this, name, id] {
        Host *server = running(name);
        if (server != nullptr && server->serverUp) {
            handle(name, ServerAnswered{.id = id, .status = 200, .answerBytes = 100});
        }
    });
}

void Fleet::on(Host &host, const ForwardCall &action)
{
    const NodeId from = host.self.name;
    const CallId fromCall = action.id;
    if (running(action.to) == nullptr || !connected(from, action.to)) {
        schedule(m_options.linkDelay, [this, from, fromCall, to = action.to] {
            handle(from, PeerFailed{.id = fromCall, .peer = to, .failure = PeerFailure::NotSent});
        });
        return;
    }
    CallDescription call = action.call;
    call.origin = CallOrigin::Peer;
    call.attemptsLeft = action.attemptsLeft;
    schedule(m_options.linkDelay, [this, call, from, fromCall, to = action.to, mode = action.mode]() mutable {
        if (Host *target = running(to)) {
            call.id = target->nextCall++;
            target->calls[call.id] = {.origin = {.peer = from, .peerCall = fromCall}, .description = call};
            handle(to, CallArrived{.call = call, .from = from, .mode = mode});
        }
    });
}

void Fleet::on(Host &host, const RespondRefused &action)
{
    const Origin origin = host.calls[action.id].origin;
    host.calls.erase(action.id);
    if (origin.peer.empty()) {
        m_results[origin.callerNumber].refusal = action.refusal;
        return;
    }
    if (connected(host.self.name, origin.peer)) {
        schedule(m_options.linkDelay, [this, origin, peer = host.self.name, action] {
            handle(origin.peer, PeerRefused{.id = origin.peerCall, .peer = peer, .refusal = action.refusal, .load = action.load});
        });
    }
}

void Fleet::on(Host &host, const RelayAnswer &action)
{
    answer(host, action.id, action.load, false);
}

void Fleet::on(Host &host, const RespondStored &action)
{
    answer(host, action.id, {}, true);
}

void Fleet::answer(Host &host, CallId id, const LoadReport &load, bool replayed)
{
    const Origin origin = host.calls[id].origin;
    host.calls.erase(id);
    if (origin.peer.empty()) {
        m_results[origin.callerNumber].answered = true;
        m_results[origin.callerNumber].replayed = replayed;
        return;
    }
    if (connected(host.self.name, origin.peer)) {
        schedule(m_options.linkDelay, [this, origin, peer = host.self.name, load] {
            handle(origin.peer, PeerAnswered{.id = origin.peerCall, .peer = peer, .status = 200, .answerBytes = 100, .load = load});
        });
    }
}

void Fleet::on(Host &, const CancelForward &)
{
}

void Fleet::on(Host &host, const SendPeerMessage &action)
{
    const NodeId from = host.self.name;
    for (const auto &[name, target] : m_hosts) {
        if (target->self.peerAddress != action.address) {
            continue;
        }
        if (target->alive && connected(from, name)) {
            schedule(m_options.linkDelay, [this, from, to = name, message = action.message] {
                handle(to, PeerMessageReceived{.from = from, .message = message});
            });
        } else {
            schedule(m_options.linkDelay, [this, from, to = name] { handle(from, PeerUnreachable{.peer = to}); });
        }
    }
}

void Fleet::on(Host &host, const ScheduleWake &action)
{
    schedule(std::max(Duration(0), Duration(action.at - m_clock.now())), [this, node = host.self.name] { handle(node, Wake{}); });
}

void Fleet::on(Host &host, const DrainComplete &)
{
    host.drained = true;
}

void Fleet::publishHostList(const std::string &service, std::vector<MemberInfo> members, Duration lag)
{
    const HostList list{.service = ServiceId(service), .version = ++m_listVersions[service], .members = std::move(members)};
    schedule(lag, [this, list] {
        for (const auto &[name, host] : m_hosts) {
            handle(name, HostListRead{.list = list});
        }
    });
}

void Fleet::crashServer(const NodeId &node)
{
    Host &host = *m_hosts.at(node);
    host.serverUp = false;
    std::vector<CallId> ids;
    for (const auto &[id, call] : host.calls) {
        ids.push_back(id);
    }
    for (const CallId id : ids) {
        handle(node, ServerFailed{.id = id, .failure = ServerFailure::ConnectionBroken});
    }
}

void Fleet::restartServer(const NodeId &node)
{
    m_hosts.at(node)->serverUp = true;
}

void Fleet::kill(const NodeId &node)
{
    m_hosts.at(node)->alive = false;
}

void Fleet::cut(const NodeId &first, const NodeId &second)
{
    m_cuts.emplace(first, second);
    m_cuts.emplace(second, first);
}

void Fleet::heal()
{
    m_cuts.clear();
}

bool Fleet::connected(const NodeId &first, const NodeId &second) const
{
    return !m_cuts.contains({first, second});
}

const std::map<std::string, int> &Fleet::executions() const
{
    return m_executions;
}

std::optional<TimePoint> Fleet::lastStart(const NodeId &node) const
{
    return m_hosts.at(node)->lastStart;
}

bool Fleet::drained(const NodeId &node) const
{
    return m_hosts.at(node)->drained;
}

TimePoint Fleet::now() const
{
    return m_clock.now();
}

NodeCore &Fleet::core(const NodeId &node)
{
    return *m_hosts.at(node)->core;
}

Configuration testConfiguration()
{
    Configuration configuration{.version = 1, .name = "test", .domains = {DomainId("north"), DomainId("south"), DomainId("west")}};
    configuration.tenants.push_back({.id = TenantId("default")});
    configuration.bounds.pauseBound = 2s;
    configuration.bounds.hostListLag = 2s;
    ServiceConfiguration books{.id = ServiceId("books"), .pathPrefix = "/books/", .slots = 20, .connections = 100};
    books.operations.push_back(
        {.id = OperationId("list"), .method = "GET", .pathPrefix = "/books/", .callClass = CallClass::Read, .idempotent = true});
    books.operations.push_back({.id = OperationId("book"),
                                .method = "POST",
                                .pathPrefix = "/books/",
                                .callClass = CallClass::Critical,
                                .idempotent = false,
                                .callerWait = 2s,
                                .resendTime = 4s});
    configuration.services.push_back(books);
    ServiceConfiguration shop{.id = ServiceId("shop"), .pathPrefix = "/shop/", .slots = 20, .connections = 100};
    shop.operations.push_back({.id = OperationId("view"), .method = "GET", .pathPrefix = "/shop/", .callClass = CallClass::Read});
    configuration.services.push_back(shop);
    return configuration;
}

std::vector<MemberInfo> testMembers(const std::string &service, int count)
{
    const std::array<std::string, 3> domains{"north", "south", "west"};
    std::vector<MemberInfo> members;
    for (int i = 0; i < count; ++i) {
        const std::string &domain = domains[static_cast<std::size_t>(i) % domains.size()];
        std::string name = service;
        name.append("-").append(domain).append("-").append(std::to_string(i));
        members.push_back({.name = NodeId(name),
                           .incarnation = 1,
                           .service = ServiceId(service),
                           .domain = DomainId(domain),
                           .peerAddress = "address-of-" + name});
    }
    return members;
}

} // namespace wisteriafork::test
