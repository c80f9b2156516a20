#include "distribution/simfleet.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace wisteriafork {

namespace {
constexpr std::size_t WheelSize = 4096;
constexpr std::size_t Octet = 256;
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

std::uint32_t SimFleet::indexOf(const SimNode &node) const
{
    return static_cast<std::uint32_t>(&node - m_nodes.data());
}

void SimFleet::schedule(Duration delay, Event event)
{
    const auto steps = std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(delay).count());
    m_wheel[(m_millisecond + static_cast<std::uint64_t>(steps)) % WheelSize].push_back(std::move(event));
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

TimePoint SimFleet::now() const
{
    return TimePoint(std::chrono::hours(24)) + std::chrono::milliseconds(m_millisecond);
}

} // namespace wisteriafork
