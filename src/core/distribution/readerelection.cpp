#include "core/distribution/readerelection.h"

#include "core/base/hashing.h"
#include "core/membership/membership.h"

#include <algorithm>
#include <random>

namespace wisteriafork {

namespace {
constexpr std::size_t Readers = 2;
// More than the readers are remembered, so that the next one is known when a reader is lost.
constexpr std::size_t KnownReaders = 4;
constexpr std::size_t RetiredReaders = 16;
constexpr Duration CountInterval = std::chrono::seconds(1);
// With so few known members the rank in the view is good enough to stand at once.
constexpr std::size_t SmallDomain = 4;
constexpr double SmallJitterSeconds = 0.5;
// Waiting time for each better member of a small domain that does not read.
constexpr double SecondsPerRank = 5;
// Waiting time of the last rank per known member of a greater domain. A beacon reaches 1,400 nodes in about a second; in that time about 1
// in 100 nodes stand.
constexpr double SecondsPerMember = 8;
constexpr double WeightRange = 18446744073709551616.0;
} // namespace

ReaderElection::ReaderElection(const DistributionOptions &options, const Membership &membership, RandomEngine random)
    : m_options(options)
    , m_membership(membership)
    , m_key(hashParts({"configuration reader", membership.self().domain.value()}))
    , m_random(random)
{
}

bool ReaderElection::outranksReader(const NodeId &first, const NodeId &second) const
{
    return outranks(m_key, first, second);
}

bool ReaderElection::offer(const ReaderBeacon &beacon, TimePoint now)
{
    const Introduction &self = m_membership.self();
    if (beacon.domain != self.domain || beacon.reader == self.name || isRetired(beacon)) {
        return false;
    }
    const auto known = std::find_if(m_known.begin(), m_known.end(), [&](const Known &k) { return k.beacon.reader == beacon.reader; });
    if (known != m_known.end()) {
        const ReaderBeacon &held = known->beacon;
        if (std::tie(beacon.incarnation, beacon.count) > std::tie(held.incarnation, held.count)) {
            *known = {.beacon = beacon, .grown = now};
        }
        return false;
    }
    const auto place
        = std::find_if(m_known.begin(), m_known.end(), [&](const Known &k) { return outranksReader(beacon.reader, k.beacon.reader); });
    const auto rank = static_cast<std::size_t>(place - m_known.begin());
    if (rank >= KnownReaders) {
        return false;
    }
    m_known.insert(place, {.beacon = beacon, .grown = now});
    if (m_known.size() > KnownReaders) {
        m_known.pop_back();
    }
    return rank < Readers;
}

bool ReaderElection::isRetired(const ReaderBeacon &beacon) const
{
    return std::any_of(m_retired.begin(), m_retired.end(), [&](const ReaderBeacon &retired) {
        return retired.reader == beacon.reader
            && std::tie(beacon.incarnation, beacon.count) <= std::tie(retired.incarnation, retired.count);
    });
}

bool ReaderElection::isGone(const Known &known, TimePoint now) const
{
    const std::optional<MemberState> state = m_membership.state(known.beacon.reader);
    return now - known.grown > m_options.beaconTimeout || state == MemberState::Suspected || state == MemberState::Gone;
}

void ReaderElection::retire(TimePoint now)
{
    for (const Known &known : m_known) {
        if (isGone(known, now)) {
            std::erase_if(m_retired, [&](const ReaderBeacon &retired) { return retired.reader == known.beacon.reader; });
            m_retired.push_back(known.beacon);
        }
    }
    std::erase_if(m_known, [&](const Known &known) { return isGone(known, now); });
    while (m_retired.size() > RetiredReaders) {
        m_retired.pop_front();
    }
}

std::size_t ReaderElection::betterReaders() const
{
    const NodeId &self = m_membership.self().name;
    return static_cast<std::size_t>(
        std::count_if(m_known.begin(), m_known.end(), [&](const Known &known) { return outranksReader(known.beacon.reader, self); }));
}

std::pair<std::size_t, std::size_t> ReaderElection::rankInView() const
{
    const Introduction &self = m_membership.self();
    std::size_t better = 0;
    std::size_t known = 0;
    for (const Introduction &peer : m_membership.peers()) {
        if (peer.domain == self.domain) {
            ++known;
            better += outranksReader(peer.name, self.name) ? 1 : 0;
        }
    }
    return {better, known};
}

Duration ReaderElection::standingDelay()
{
    const auto [rank, known] = rankInView();
    const double jitter = std::uniform_real_distribution<double>(0, 1)(m_random);
    double seconds = jitter * SmallJitterSeconds;
    if (known > SmallDomain) {
        const double distance = 1.0 - (static_cast<double>(rendezvousWeight(m_key, m_membership.self().name)) / WeightRange);
        seconds += distance * static_cast<double>(known - SmallDomain) * SecondsPerMember;
    } else if (rank >= Readers) {
        seconds += static_cast<double>(rank - Readers + 1) * SecondsPerRank;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void ReaderElection::takeUp(TimePoint now)
{
    if (betterReaders() >= Readers && m_options.mechanisms.readerElection) {
        m_standAt.reset();
        return;
    }
    if (!m_standAt) {
        m_standAt = now + (m_options.mechanisms.readerElection ? standingDelay() : Duration{0});
    }
    if (now >= *m_standAt && (m_changed == TimePoint{} || now - m_changed >= m_options.readerHold)) {
        m_reading = true;
        m_changed = now;
        m_standAt.reset();
    }
}

bool ReaderElection::tick(TimePoint now)
{
    retire(now);
    const bool before = m_reading;
    if (!m_reading) {
        takeUp(now);
    } else if (betterReaders() >= Readers && now - m_changed >= m_options.readerHold && m_options.mechanisms.readerElection) {
        m_reading = false;
        m_changed = now;
    }
    if (m_reading && now >= m_nextCount) {
        ++m_count;
        m_nextCount = now + CountInterval;
    }
    return before != m_reading;
}

std::vector<ReaderBeacon> ReaderElection::beacons() const
{
    std::vector<ReaderBeacon> best;
    for (const Known &known : m_known) {
        best.push_back(known.beacon);
    }
    if (m_reading) {
        const Introduction &self = m_membership.self();
        const auto place
            = std::find_if(best.begin(), best.end(), [&](const ReaderBeacon &beacon) { return outranksReader(self.name, beacon.reader); });
        best.insert(place, {.reader = self.name, .incarnation = self.incarnation, .domain = self.domain, .count = m_count});
    }
    best.resize(std::min(best.size(), Readers));
    return best;
}

bool ReaderElection::isReading() const
{
    return m_reading;
}

} // namespace wisteriafork
