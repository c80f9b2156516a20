#include "distribution/simfleet.h"

#include "core/distribution/messagesize.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace wisteriafork {

namespace {
constexpr std::size_t WheelSize = 4096;
constexpr std::size_t Octet = 256;
constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration ReadDelay = std::chrono::milliseconds(4);
// Time until a sender gives up on a peer that does not answer at all.
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
constexpr std::uint64_t IncarnationStep = 1;

std::vector<ServiceId> parseCalls(std::string_view text)
{
    std::vector<ServiceId> calls;
    std::size_t at = 0;
    while ((at = text.find("call=", at)) != std::string_view::npos) {
        at += 5;
        calls.emplace_back(std::string(text.substr(at, text.find(';', at) - at)));
    }
    return calls;
}

std::vector<Finding> validateSlice(const ServiceId & /*service*/, std::string_view text)
{
    std::vector<Finding> findings;
    if (text.find("INVALID") != std::string_view::npos) {
        findings.push_back({.pointer = "/operations/0", .message = "no identity"});
    }
    return findings;
}
} // namespace

SimFleet::SimFleet(SimOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_nodes(m_options.services * m_options.instances)
    , m_wheel(WheelSize)
    , m_backlog(m_nodes.size())
{
    m_options.distribution.slices = {.validate = validateSlice, .calledServices = parseCalls};
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        SimNode &node = m_nodes[i];
        node.service = i / m_options.instances;
        node.info = {.name = NodeId("n" + std::to_string(i)),
                     .incarnation = 0,
                     .service = serviceId(node.service),
                     .domain = DomainId("domain-" + std::to_string(i % m_options.domains)),
                     .peerAddress = addressOf(i)};
    }
    m_platform.hold(true);
    m_platform.publishSlice(ServiceId("_common"), "domains and tenants");
    for (std::size_t service = 0; service < m_options.services; ++service) {
        publishSlice(service);
    }
    m_platform.hold(false);
}

ServiceId SimFleet::serviceId(std::size_t service)
{
    return ServiceId("service-" + std::to_string(service));
}

std::string SimFleet::addressOf(std::size_t node)
{
    return "10.0." + std::to_string(node / Octet) + "." + std::to_string(node % Octet) + ":7101";
}

std::size_t SimFleet::nodeAt(const std::string &address)
{
    std::size_t high = 0;
    std::size_t low = 0;
    const char *end = address.data() + address.size();
    const char *dot = std::from_chars(address.data() + 5, end, high).ptr;
    std::from_chars(dot + 1, end, low);
    return (high * Octet) + low;
}

std::string SimFleet::sliceText(std::size_t service, const std::string &extra) const
{
    std::string text = "slots=50;" + extra + ";";
    for (std::size_t i = 1; i <= m_options.calls; ++i) {
        // Steps that grow spread the calls over the fleet; a service calls only later ones.
        const std::size_t called = service + (i * i);
        if (called < m_options.services) {
            text += "call=" + serviceId(called).value() + ";";
        }
    }
    text.resize(std::max(text.size(), m_options.sliceBytes), ' ');
    return text;
}

void SimFleet::publishSlice(std::size_t service, const std::string &extra)
{
    m_platform.publishSlice(serviceId(service), sliceText(service, extra));
    checkWatches();
}

void SimFleet::publishList(std::size_t service, const std::function<bool(const SimNode &)> &listed)
{
    HostList list{.service = serviceId(service), .version = 0, .members = {}};
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        const SimNode &node = m_nodes[(service * m_options.instances) + i];
        if (listed(node)) {
            list.members.push_back(node.info);
        }
    }
    m_platform.publishList(std::move(list));
    checkWatches();
}

void SimFleet::publishLists()
{
    m_platform.hold(true);
    for (std::size_t service = 0; service < m_options.services; ++service) {
        publishList(service, [](const SimNode &) { return true; });
    }
    m_platform.hold(false);
    checkWatches();
}

void SimFleet::start(std::size_t index)
{
    SimNode &node = m_nodes[index];
    node.info.incarnation += IncarnationStep;
    ++node.life;
    node.alive = true;
    node.hostDown = false;
    node.paused = false;
    node.readyAt = {};
    node.watches.clear();
    node.inForce = {};
    m_backlog[index].clear();
    // Each node has its own clock, hours apart from the others.
    node.clock.set(now() + std::chrono::hours(1 + (index % 7)));
    MembershipOptions membership = m_options.membership;
    membership.self = node.info;
    for (std::size_t i = 0; i < m_options.seeds; ++i) {
        membership.seeds.push_back(addressOf(std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random)));
    }
    node.distribution.reset();
    node.membership = std::make_unique<Membership>(membership, node.clock, RandomEngine(m_random()));
    node.distribution = std::make_unique<Distribution>(m_options.distribution, *node.membership, node.clock, RandomEngine(m_random()));
    const auto first = std::uniform_int_distribution<std::int64_t>(1, 99)(m_random);
    schedule(std::chrono::milliseconds(first), {.node = static_cast<std::uint32_t>(index), .from = 0, .what = Tick{.life = node.life}});
}

void SimFleet::startAll()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        start(i);
    }
}

void SimFleet::kill(std::size_t index, bool host)
{
    SimNode &node = m_nodes[index];
    node.alive = false;
    node.hostDown = host;
    node.paused = false;
    ++node.life;
    node.watches.clear();
    node.distribution.reset();
    node.membership.reset();
}

void SimFleet::pause(std::size_t node)
{
    if (m_nodes[node].alive && !m_nodes[node].paused) {
        m_nodes[node].paused = true;
        m_nodes[node].pausedAt = now();
    }
}

void SimFleet::resume(std::size_t node)
{
    if (!m_nodes[node].paused) {
        return;
    }
    m_nodes[node].paused = false;
    // What arrived meanwhile is read before the first tick.
    std::vector<Event> backlog = std::exchange(m_backlog[node], {});
    for (Event &event : backlog) {
        process(event);
    }
}

void SimFleet::partition(std::function<int(const SimNode &)> groupOf)
{
    m_groupOf = std::move(groupOf);
}

void SimFleet::heal()
{
    m_groupOf = nullptr;
}

void SimFleet::setLoss(double loss, double damage)
{
    m_options.loss = loss;
    m_options.damage = damage;
}

void SimFleet::damage(DistributionMessage &message)
{
    auto *reply = std::get_if<ValueReply>(&message);
    if (reply != nullptr && !reply->text.empty() && std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.damage) {
        reply->text.resize(reply->text.size() / 2);
    }
}

bool SimFleet::connected(const SimNode &a, const SimNode &b) const
{
    return !m_groupOf || m_groupOf(a) == m_groupOf(b);
}

Duration SimFleet::delayBetween(const SimNode &a, const SimNode &b)
{
    const Duration base = a.info.domain == b.info.domain ? m_options.localDelay : m_options.remoteDelay;
    return base + Duration(std::uniform_int_distribution<Duration::rep>(0, m_options.jitter.count())(m_random));
}

std::uint32_t SimFleet::indexOf(const SimNode &node) const
{
    return static_cast<std::uint32_t>(&node - m_nodes.data());
}

void SimFleet::schedule(Duration delay, Event event)
{
    const auto steps = std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(delay).count());
    m_wheel[(m_millisecond + static_cast<std::uint64_t>(steps)) % WheelSize].push_back(std::move(event));
}

template <typename Message>
void SimFleet::transmit(SimNode &from, const std::string &address, Message message)
{
    const std::size_t size = MessageSize::of(message) + OverheadPerMessage;
    ++from.traffic.sent;
    from.traffic.bytesSent += size;
    const std::size_t index = nodeAt(address);
    SimNode &to = m_nodes[index];
    const Duration delay = delayBetween(from, to);
    if (!to.alive || !connected(from, to)) {
        const Duration notice = to.hostDown || !connected(from, to) ? ConnectTimeout : 2 * delay;
        schedule(notice, {.node = indexOf(from), .from = 0, .what = Unreachable{.peer = static_cast<std::uint32_t>(index)}});
        return;
    }
    if (m_options.loss > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.loss) {
        return;
    }
    if constexpr (std::is_same_v<Message, DistributionMessage>) {
        if (m_options.damage > 0) {
            damage(message);
        }
    }
    to.traffic.bytesReceived += size;
    schedule(delay, {.node = static_cast<std::uint32_t>(index), .from = indexOf(from), .what = std::move(message)});
}

void SimFleet::process(Event &event)
{
    SimNode &node = m_nodes[event.node];
    if (!node.alive) {
        return;
    }
    if (node.paused) {
        m_backlog[event.node].push_back(std::move(event));
        return;
    }
    node.clock.set(now() + std::chrono::hours(1 + (event.node % 7)));
    apply(node, event);
    if (observer) {
        observer(node);
    }
}

void SimFleet::apply(SimNode &node, Event &event)
{
    if (const auto *tick = std::get_if<Tick>(&event.what)) {
        if (tick->life != node.life) {
            return;
        }
        node.membership->tick();
        drain(node);
        node.distribution->tick();
        schedule(TickInterval, {.node = event.node, .from = 0, .what = Tick{.life = node.life}});
    } else if (const auto *unreachable = std::get_if<Unreachable>(&event.what)) {
        node.membership->noteUnreachable(m_nodes[unreachable->peer].info.name);
        node.distribution->noteUnreachable(m_nodes[unreachable->peer].info.name);
    } else if (const auto *read = std::get_if<Read>(&event.what)) {
        const SimPlatform::Value *value = m_platform.read(read->key);
        if (read->life == node.life && value != nullptr) {
            node.distribution->valueRead(read->key, *value->text);
        } else if (read->life == node.life) {
            node.distribution->readFailed(read->key);
        }
    } else if (const auto *delivered = std::get_if<Delivered>(&event.what)) {
        if (delivered->life == node.life) {
            node.distribution->valueRead(delivered->key, *delivered->text);
        }
    } else if (const auto *member = std::get_if<MembershipMessage>(&event.what)) {
        ++node.traffic.received;
        node.membership->handle(m_nodes[event.from].info.name, *member);
    } else if (const auto *message = std::get_if<DistributionMessage>(&event.what)) {
        ++node.traffic.received;
        if (const auto *digest = std::get_if<VersionDigest>(message)) {
            node.membership->learn(digest->sender);
            node.membership->noteContact(digest->sender.name, digest->sender.incarnation);
        }
        node.distribution->handle(m_nodes[event.from].info.name, *message);
    }
    drain(node);
}

void SimFleet::drain(SimNode &node)
{
    for (DistributionOutput &item : node.distribution->takeOutputs()) {
        output(node, item);
    }
    for (MembershipOutput &item : node.membership->takeOutputs()) {
        if (auto *send = std::get_if<SendMembershipMessage>(&item)) {
            transmit(node, send->address, std::move(send->message));
        }
    }
}

void SimFleet::output(SimNode &node, DistributionOutput &item)
{
    if (auto *send = std::get_if<SendDistributionMessage>(&item)) {
        transmit(node, send->address, std::move(send->message));
    } else if (const auto *read = std::get_if<ReadValue>(&item)) {
        ++m_reads;
        ++readsOf[read->key.substr(0, read->key.rfind('/'))];
        schedule(ReadDelay, {.node = indexOf(node), .from = 0, .what = Read{.life = node.life, .key = read->key}});
    } else if (const auto *watch = std::get_if<StartValueWatch>(&item)) {
        startWatch(node, watch->key, watch->afterVersion);
    } else if (const auto *stop = std::get_if<StopValueWatch>(&item)) {
        node.watches.erase(stop->key);
    } else if (const auto *list = std::get_if<HostListChanged>(&item)) {
        node.membership->applyHostList(list->list);
    } else if (const auto *dropped = std::get_if<HostListDropped>(&item)) {
        node.membership->dropService(dropped->service);
    } else if (const auto *reached = std::get_if<HostsVersionReached>(&item)) {
        node.membership->setHostsVersion(reached->version);
    } else if (auto *held = std::get_if<ValueHeldBack>(&item)) {
        node.heldBack.push_back(std::move(*held));
    } else if (const auto *conflict = std::get_if<VersionConflict>(&item)) {
        node.conflicts.push_back(*conflict);
    } else if (auto *changed = std::get_if<ConfigurationChanged>(&item)) {
        node.inForce = std::move(*changed);
        node.changedAt = now();
    } else if (std::holds_alternative<BecameReady>(item)) {
        node.readyAt = now();
        node.readyVersion = node.distribution->status().inForce.version;
    }
}

void SimFleet::startWatch(SimNode &node, const std::string &key, std::uint64_t after)
{
    ++m_reads;
    node.watches[key] = after;
    const std::uint32_t index = indexOf(node);
    if (std::find(m_watchers.begin(), m_watchers.end(), index) == m_watchers.end()) {
        m_watchers.push_back(index);
    }
    checkWatches();
}

void SimFleet::checkWatches()
{
    std::erase_if(m_watchers, [this](std::uint32_t index) { return m_nodes[index].watches.empty(); });
    for (const std::uint32_t index : m_watchers) {
        SimNode &node = m_nodes[index];
        for (auto &[key, after] : node.watches) {
            const SimPlatform::Value *value = m_platform.read(key);
            if (value != nullptr && value->version > after) {
                after = value->version;
                ++m_reads;
                schedule(ReadDelay, {.node = index, .from = 0, .what = Delivered{.life = node.life, .key = key, .text = value->text}});
            }
        }
    }
}

void SimFleet::run(Duration time)
{
    const std::uint64_t end
        = m_millisecond + static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    while (m_millisecond < end) {
        ++m_millisecond;
        std::vector<Event> due = std::exchange(m_wheel[m_millisecond % WheelSize], {});
        for (Event &event : due) {
            process(event);
        }
    }
}

bool SimFleet::runUntil(const std::function<bool()> &condition, Duration most)
{
    const TimePoint end = now() + most;
    while (!condition()) {
        if (now() >= end) {
            return false;
        }
        run(std::chrono::milliseconds(10));
        checkWatches();
    }
    return true;
}

std::vector<SimNode> &SimFleet::nodes()
{
    return m_nodes;
}

SimPlatform &SimFleet::platform()
{
    return m_platform;
}

TimePoint SimFleet::now() const
{
    return TimePoint(std::chrono::hours(24)) + std::chrono::milliseconds(m_millisecond);
}

std::uint64_t SimFleet::reads() const
{
    return m_reads;
}

std::size_t SimFleet::watches() const
{
    std::size_t count = 0;
    for (const std::uint32_t index : m_watchers) {
        count += m_nodes[index].watches.size();
    }
    return count;
}

} // namespace wisteriafork
