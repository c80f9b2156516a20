#include "core/membership/peerset.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace wisteriafork {

namespace {
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
    const auto known
        = std::find_if(m_samples.begin(), m_samples.end(), [&](const Introduction &sample) { return sample.name == introduction.name; });
    if (known != m_samples.end()) {
        if (introduction.incarnation >= known->incarnation) {
            *known = introduction;
        }
        return;
    }
    if (m_samples.size() < m_options.maxSamples) {
        m_samples.push_back(introduction);
        return;
    }
    m_samples[std::uniform_int_distribution<std::size_t>(0, m_samples.size() - 1)(random)] = introduction;
}

void PeerSet::forgetSample(const NodeId &name)
{
    std::erase_if(m_samples, [&](const Introduction &sample) { return sample.name == name; });
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
    for (const Introduction &sample : m_samples) {
        if (m_peers.size() < m_options.maxPeers && table.find(sample.name) == nullptr) {
            m_peers.push_back(sample);
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
    // Ordered by place within the service first, so that each called service gets its share.
    std::vector<std::tuple<std::size_t, std::uint64_t, const MemberRecord *>> ranked;
    const std::uint64_t own = hash64(m_options.self.name.value());
    table.forEachService([&](const ServiceId &service, const std::vector<MemberRecord *> &members) {
        if (service == m_options.self.service) {
            return;
        }
        std::vector<std::pair<std::uint64_t, const MemberRecord *>> weights;
        for (const MemberRecord *record : members) {
            if (isPeer(*record, m_options.self.name)) {
                weights.emplace_back(hash64(record->about.name.value(), own), record);
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
