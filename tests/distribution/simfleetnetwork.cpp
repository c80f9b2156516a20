#include "distribution/simfleet.h"

#include "core/distribution/messagesize.h"

#include <random>
#include <utility>

// The network between the nodes, and what a node does with each event.

namespace wisteriafork {

namespace {
constexpr Duration TickInterval = std::chrono::milliseconds(100);
// Time until a sender gives up on a peer that does not answer at all.
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
} // namespace

void SimFleet::setJitter(Duration jitter)
{
    m_options.jitter = jitter;
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
    std::visit([&](const auto &what) { receive(node, event, what); }, event.what);
    drain(node);
}

void SimFleet::receive(SimNode &node, const Event &event, const Tick &tick)
{
    if (tick.life != node.life) {
        return;
    }
    node.membership->tick();
    drain(node);
    node.distribution->tick();
    schedule(TickInterval, {.node = event.node, .from = 0, .what = Tick{.life = node.life}});
}

void SimFleet::receive(SimNode &node, const Event & /*event*/, const Unreachable &unreachable)
{
    const NodeId &peer = m_nodes[unreachable.peer].info.name;
    node.membership->noteUnreachable(peer);
    node.distribution->noteUnreachable(peer);
}

void SimFleet::receive(SimNode &node, const Event & /*event*/, const Read &read)
{
    if (read.life != node.life) {
        return;
    }
    const SimPlatform::Value *value = admitRead() ? m_platform.read(read.key) : nullptr;
    if (value != nullptr) {
        node.distribution->valueRead(read.key, *value->text);
    } else {
        node.distribution->readFailed(read.key);
    }
}

void SimFleet::receive(SimNode &node, const Event & /*event*/, const Delivered &delivered)
{
    if (delivered.life == node.life) {
        node.distribution->valueRead(delivered.key, *delivered.text);
    }
}

void SimFleet::receive(SimNode &node, const Event &event, const MembershipMessage &message)
{
    ++node.traffic.received;
    node.membership->handle(m_nodes[event.from].info.name, message);
}

void SimFleet::receive(SimNode &node, const Event &event, const DistributionMessage &message)
{
    ++node.traffic.received;
    if (const auto *digest = std::get_if<VersionDigest>(&message)) {
        node.membership->learn(digest->sender);
        node.membership->noteContact(digest->sender.name, digest->sender.incarnation);
    }
    node.distribution->handle(m_nodes[event.from].info.name, message);
}

template <typename Message>
void SimFleet::transmit(SimNode &from, const std::string &address, Message message)
{
    const std::size_t size = MessageSize::of(message) + OverheadPerMessage;
    ++from.traffic.sent;
    from.traffic.bytesSent += size;
    const std::size_t kind = SimTraffic::kindOf(message);
    from.traffic.bytesOfKind.at(kind) += size;
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
    to.traffic.bytesOfKind.at(kind) += size;
    schedule(delay, {.node = static_cast<std::uint32_t>(index), .from = indexOf(from), .what = std::move(message)});
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

template void SimFleet::transmit(SimNode &, const std::string &, DistributionMessage);

} // namespace wisteriafork
