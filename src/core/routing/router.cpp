#include "core/routing/router.h"

#include "core/routing/instanceload.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wisteriafork {

namespace {

// Weight of one measurement in the extra time of another failure domain.
constexpr double DomainCostWeight = 0.05;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

class Router::Private
{
public:
    struct Pool
    {
        // Instances that may be chosen: those of the own failure domain first, `local` of them.
        std::vector<InstanceLoad> instances;
        std::size_t local = 0;
        std::unordered_map<NodeId, std::size_t> indexes;
    };
    struct Pick
    {
        std::size_t index = 0;
        double cost = 0.0;
    };

    Private(RouterOptions routerOptions, DomainId domain, const Clock &nodeClock, RandomEngine &engine)
        : options(routerOptions), ownDomain(std::move(domain)), clock(nodeClock), random(engine)
    {
    }

    InstanceLoad *find(const ServiceId &service, const NodeId &node);
    double domainCost(const DomainId &domain) const;
    double cost(const InstanceLoad &instance, const DomainId *avoidDomain) const;
    std::optional<Pick> pickOfTwo(const Pool &pool, std::size_t begin, std::size_t end, std::span<const NodeId> excluded,
                                  const DomainId *avoidDomain);
    std::optional<std::size_t> draw(const Pool &pool, std::size_t begin, std::size_t end, std::span<const NodeId> excluded,
                                    std::optional<std::size_t> other);

    RouterOptions options;
    DomainId ownDomain;
    const Clock &clock;
    RandomEngine &random;
    std::unordered_map<ServiceId, Pool> pools;
    // Measured extra time of a call to another failure domain, in seconds.
    std::map<DomainId, double> domainCosts;
    double localTransit = 0.0;
};

Router::Router(RouterOptions options, DomainId ownDomain, const Clock &clock, RandomEngine &random)
    : m_d(std::make_unique<Private>(options, std::move(ownDomain), clock, random))
{
}

Router::~Router() = default;

void Router::update(const ServiceId &service, std::span<const RouteCandidate> candidates)
{
    Private::Pool &pool = m_d->pools[service];
    Private::Pool next;
    for (const bool local : {true, false}) {
        for (const RouteCandidate &candidate : candidates) {
            if (candidate.suspected || candidate.leaving || (candidate.member.domain == m_d->ownDomain) != local) {
                continue;
            }
            const auto known = pool.indexes.find(candidate.member.name);
            const bool same = known != pool.indexes.end() && pool.instances[known->second].incarnation == candidate.member.incarnation;
            next.indexes.emplace(candidate.member.name, next.instances.size());
            next.instances.push_back(same ? pool.instances[known->second]
                                          : InstanceLoad(candidate.member.name, candidate.member.domain, candidate.member.incarnation));
        }
        if (local) {
            next.local = next.instances.size();
        }
    }
    pool = std::move(next);
}

std::optional<RouteChoice> Router::choose(const ServiceId &service, std::span<const NodeId> excluded, const DomainId *avoidDomain)
{
    const auto found = m_d->pools.find(service);
    if (found == m_d->pools.end()) {
        return std::nullopt;
    }
    const Private::Pool &pool = found->second;
    const std::size_t all = pool.instances.size();
    if (!m_d->options.sameDomainFirst) {
        const std::optional<Private::Pick> any = m_d->pickOfTwo(pool, 0, all, excluded, avoidDomain);
        return any ? std::optional(RouteChoice{.node = pool.instances[any->index].name, .reason = RouteReason::LessLoadedOfTwo})
                   : std::nullopt;
    }
    const std::optional<Private::Pick> near = m_d->pickOfTwo(pool, 0, pool.local, excluded, avoidDomain);
    const std::optional<Private::Pick> far = m_d->pickOfTwo(pool, pool.local, all, excluded, avoidDomain);
    if (!near && !far) {
        return std::nullopt;
    }
    const bool useFar = !near || (far && far->cost < near->cost);
    const Private::Pick &pick = useFar ? *far : *near;
    const RouteReason reason = all == 1 ? RouteReason::OnlyCandidate
        : !useFar                       ? RouteReason::LessLoadedOfTwo
        : near                          ? RouteReason::SpilledOver
                                        : RouteReason::OtherFailureDomain;
    return RouteChoice{.node = pool.instances[pick.index].name, .reason = reason};
}

void Router::sent(const ServiceId &service, const NodeId &node)
{
    if (InstanceLoad *instance = m_d->find(service, node)) {
        instance->sent();
    }
}

void Router::answered(const ServiceId &service, const NodeId &node, const LoadReport &report, Duration elapsed)
{
    InstanceLoad *instance = m_d->find(service, node);
    if (instance == nullptr) {
        return;
    }
    // What is left of the time of a call after service and queueing is the link.
    const double transit = std::max(0.0, seconds(elapsed) - instance->expectedTime(m_d->clock.now(), m_d->options.knowledgeHalfLife));
    instance->ended();
    instance->learn(report, m_d->clock.now());
    if (instance->domain == m_d->ownDomain) {
        m_d->localTransit += DomainCostWeight * (transit - m_d->localTransit);
        return;
    }
    const auto known = m_d->domainCosts.emplace(instance->domain, seconds(m_d->options.assumedDomainCost)).first;
    const double extra = std::max(0.0, transit - m_d->localTransit);
    // Service times spread far more than links; one sample moves the estimate by no more than its own size.
    known->second += DomainCostWeight * (std::min(extra, 2 * known->second) - known->second);
    known->second = std::max(known->second, seconds(m_d->options.assumedDomainCost) / 4);
}

void Router::failed(const ServiceId &service, const NodeId &node)
{
    if (InstanceLoad *instance = m_d->find(service, node)) {
        instance->ended();
        instance->failed(m_d->clock.now());
    }
}

void Router::learn(const ServiceId &service, const NodeId &node, const LoadReport &report)
{
    if (InstanceLoad *instance = m_d->find(service, node)) {
        instance->learn(report, m_d->clock.now());
    }
}

InstanceLoad *Router::Private::find(const ServiceId &service, const NodeId &node)
{
    const auto pool = pools.find(service);
    if (pool == pools.end()) {
        return nullptr;
    }
    const auto index = pool->second.indexes.find(node);
    return index == pool->second.indexes.end() ? nullptr : &pool->second.instances[index->second];
}

double Router::Private::domainCost(const DomainId &domain) const
{
    if (domain == ownDomain) {
        return 0.0;
    }
    const auto known = domainCosts.find(domain);
    return options.domainCostFactor * (known == domainCosts.end() ? seconds(options.assumedDomainCost) : known->second);
}

double Router::Private::cost(const InstanceLoad &instance, const DomainId *avoidDomain) const
{
    // A retry goes to the failure domain of the failed attempt only if there is no other.
    const double avoided = avoidDomain != nullptr && *avoidDomain == instance.domain ? 1e6 : 0.0;
    const double domain = options.sameDomainFirst ? domainCost(instance.domain) : 0.0;
    return instance.cost(clock.now(), options.knowledgeHalfLife) + domain + avoided;
}

std::optional<Router::Private::Pick> Router::Private::pickOfTwo(const Pool &pool, std::size_t begin, std::size_t end,
                                                                std::span<const NodeId> excluded, const DomainId *avoidDomain)
{
    const std::optional<std::size_t> first = draw(pool, begin, end, excluded, std::nullopt);
    if (!first) {
        return std::nullopt;
    }
    const Pick firstPick{.index = *first, .cost = cost(pool.instances[*first], avoidDomain)};
    const std::optional<std::size_t> second = options.powerOfTwo ? draw(pool, begin, end, excluded, first) : std::nullopt;
    if (!second) {
        return firstPick;
    }
    const Pick secondPick{.index = *second, .cost = cost(pool.instances[*second], avoidDomain)};
    return secondPick.cost < firstPick.cost ? secondPick : firstPick;
}

// Draws a random instance of a range, and steps on from it past excluded ones: at most one step for each exclusion.
std::optional<std::size_t> Router::Private::draw(const Pool &pool, std::size_t begin, std::size_t end, std::span<const NodeId> excluded,
                                                 std::optional<std::size_t> other)
{
    if (begin >= end) {
        return std::nullopt;
    }
    const std::size_t count = end - begin;
    const std::size_t start = std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    const std::size_t steps = std::min(count, excluded.size() + 2);
    for (std::size_t step = 0; step < steps; ++step) {
        const std::size_t index = begin + (start + step) % count;
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), pool.instances[index].name) != excluded.end();
        if (!isExcluded && index != other) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace wisteriafork
