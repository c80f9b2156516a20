#include "core/membership/peerset.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace wisteriafork {

namespace {
constexpr std::uint64_t RemoteBit = 1ULL << 63U;

bool isPeer(const MemberRecord &record, const NodeId &self)
{
    return record.about.name != self && (record.state == MemberState::Live || record.state == MemberState::Leaving);
}
} // namespace

PeerSet::PeerSet(const MembershipOptions &options) : m_options(options)
{
}

void PeerSet::learn(const Introduction &introduction, RandomEngine &random)
{
    if (introduction.name == m_options.self.name || introduction.name.empty()) {
        return;
    }
    const bool local = introduction.domain == m_options.self.domain;
    std::vector<Sample *> sameKind;
    for (Sample &sample : m_samples) {
        if (sample.about.name == introduction.name) {
            if (introduction.incarnation >= sample.about.incarnation) {
                sample.about = introduction;
            }
            return;
        }
        if ((sample.about.domain == m_options.self.domain) == local) {
            sameKind.push_back(&sample);
        }
    }
    if (sameKind.size() < m_options.maxSamples / 2) {
        m_samples.push_back({.about = introduction, .failures = 0});
        return;
    }
    const auto silent = std::find_if(sameKind.begin(), sameKind.end(), [](const Sample *sample) { return sample->failures > 0; });
    Sample *replaced
        = silent != sameKind.end() ? *silent : sameKind[std::uniform_int_distribution<std::size_t>(0, sameKind.size() - 1)(random)];
    *replaced = {.about = introduction, .failures = 0};
}

void PeerSet::noteHeard(const NodeId &name)
{
    for (Sample &sample : m_samples) {
        if (sample.about.name == name) {
            sample.failures = 0;
        }
    }
}

void PeerSet::noteFailure(const NodeId &name)
{
    for (Sample &sample : m_samples) {
        if (sample.about.name == name) {
            ++sample.failures;
        }
    }
}

std::vector<const Introduction *> PeerSet::silentSamples() const
{
    std::vector<const Introduction *> silent;
    for (const Sample &sample : m_samples) {
        if (sample.failures > 0) {
            silent.push_back(&sample.about);
        }
    }
    return silent;
}

void PeerSet::rebuild(const MemberTable &table)
{
    m_peers.clear();
    m_monitored = 0;
    table.forEachService([this](const ServiceId &service, const std::vector<MemberRecord *> &members) {
        if (service == m_options.self.service) {
            addOwnService(members);
        }
    });
    addCalled(table);
    for (const Sample &sample : m_samples) {
        if (m_peers.size() < m_options.maxPeers && sample.failures == 0 && table.find(sample.about.name) == nullptr) {
            m_peers.push_back(sample.about);
        }
    }
}

void PeerSet::addOwnService(const std::vector<MemberRecord *> &members)
{
    const std::uint64_t own = hash64(m_options.self.name.value());
    std::vector<std::pair<std::uint64_t, const MemberRecord *>> ring;
    for (const MemberRecord *record : members) {
        if (isPeer(*record, m_options.self.name)) {
            ring.emplace_back(hash64(record->about.name.value()) - own, record);
        }
    }
    const std::size_t count = std::min(ring.size(), (m_options.maxPeers - m_options.maxSamples) / 2);
    std::partial_sort(ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(count), ring.end());
    for (std::size_t i = 0; i < count; ++i) {
        m_peers.push_back(ring[i].second->about);
    }
    m_monitored = std::min(count, m_options.monitored);
}

void PeerSet::addCalled(const MemberTable &table)
{
    // Ordered by place within the service first, so that each called service gets its share. Members of the own domain come before others
    // of the service: most calls go to them, and reader beacons travel within a domain.
    std::vector<std::tuple<std::size_t, std::uint64_t, const MemberRecord *>> ranked;
    const std::uint64_t own = hash64(m_options.self.name.value());
    table.forEachService([&](const ServiceId &service, const std::vector<MemberRecord *> &members) {
        if (service == m_options.self.service) {
            return;
        }
        std::vector<std::pair<std::uint64_t, const MemberRecord *>> weights;
        for (const MemberRecord *record : members) {
            if (isPeer(*record, m_options.self.name)) {
                const std::uint64_t weight = hash64(record->about.name.value(), own) >> 1U;
                weights.emplace_back(record->about.domain == m_options.self.domain ? weight : weight | RemoteBit, record);
            }
        }
        std::sort(weights.begin(), weights.end());
        for (std::size_t i = 0; i < std::min(weights.size(), m_options.maxPeers); ++i) {
            ranked.emplace_back(i, weights[i].first, weights[i].second);
        }
    });
    std::sort(ranked.begin(), ranked.end());
    const std::size_t limit = m_options.maxPeers - m_options.maxSamples;
    for (std::size_t i = 0; i < ranked.size() && m_peers.size() < limit; ++i) {
        m_peers.push_back(std::get<2>(ranked[i])->about);
    }
}

std::span<const Introduction> PeerSet::peers() const
{
    return m_peers;
}

std::span<const Introduction> PeerSet::monitored() const
{
    return std::span<const Introduction>(m_peers).first(m_monitored);
}

const Introduction *PeerSet::pickOf(const DomainId &domain, RandomEngine &random) const
{
    const Introduction *chosen = nullptr;
    std::size_t count = 0;
    for (const Introduction &peer : m_peers) {
        if (peer.domain == domain && std::uniform_int_distribution<std::size_t>(0, count++)(random) == 0) {
            chosen = &peer;
        }
    }
    return chosen;
}

const Introduction *PeerSet::pick(RandomEngine &random) const
{
    if (m_peers.empty()) {
        return nullptr;
    }
    return &m_peers[std::uniform_int_distribution<std::size_t>(0, m_peers.size() - 1)(random)];
}

std::vector<const Introduction *> PeerSet::pickSeveral(std::size_t count, RandomEngine &random) const
{
    std::vector<const Introduction *> chosen;
    chosen.reserve(m_peers.size());
    for (const Introduction &peer : m_peers) {
        chosen.push_back(&peer);
    }
    count = std::min(count, chosen.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(chosen[i], chosen[std::uniform_int_distribution<std::size_t>(i, chosen.size() - 1)(random)]);
    }
    chosen.resize(count);
    return chosen;
}

} // namespace wisteriafork
