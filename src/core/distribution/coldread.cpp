#include "core/distribution/coldread.h"

#include "core/base/hashing.h"
#include "core/distribution/randompart.h"
#include "core/membership/membership.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

namespace wisteriafork {

namespace {
constexpr unsigned MaxBackoffDoublings = 6;
// Length of the first delay as a multiple of the blind read window, and the natural logarithm of the fleet size for which it is laid out.
constexpr int FirstWindows = 3;
constexpr double LogFleet = 10.3;
// Spread of the reads that were left to peers: 28,000 hosts in 10 windows of 2 s are 1,400 reads a second.
constexpr int DeferralWindows = 10;
// Services whose members share one second when they read their own host list: 31 members each give 930 reads a second.
constexpr double ServicesPerSecond = 30;
} // namespace

ColdRead::ColdRead(const DistributionOptions &options, const Membership &membership, RandomEngine random)
    : m_options(options), m_membership(membership), m_random(random)
{
}

Duration ColdRead::firstDelay()
{
    if (!m_options.mechanisms.coldReadElection || (m_membership.seeds().empty() && m_membership.peers().empty())) {
        return randomPart(m_options.blindReadWindow, m_random);
    }
    const double part = std::uniform_real_distribution<double>(std::exp(-LogFleet), 1)(m_random);
    return std::chrono::duration_cast<Duration>(FirstWindows * m_options.blindReadWindow * (1 + (std::log(part) / LogFleet)));
}

bool ColdRead::isDeferred(unsigned deferrals) const
{
    if (!m_options.mechanisms.coldReadElection || deferrals > 0) {
        return false;
    }
    const RequestKey key = hashParts({"cold reader"});
    const std::span<const Introduction> peers = m_membership.peers();
    return std::any_of(peers.begin(), peers.end(),
                       [&](const Introduction &peer) { return outranks(key, peer.name, m_membership.self().name); });
}

Duration ColdRead::deferral()
{
    return m_options.blindReadWindow + randomPart(DeferralWindows * m_options.blindReadWindow, m_random);
}

Duration ColdRead::nextDelay(unsigned reads)
{
    const Duration delay = std::min(m_options.blindReadWindow * (1U << std::min(reads, MaxBackoffDoublings)), m_options.maxReadDelay);
    return delay / 2 + randomPart(delay, m_random);
}

Duration ColdRead::spreadFor(std::size_t services) const
{
    const std::chrono::duration<double> spread(static_cast<double>(services) / ServicesPerSecond);
    return std::max(m_options.blindReadWindow, std::chrono::duration_cast<Duration>(spread));
}

} // namespace wisteriafork
