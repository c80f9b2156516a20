#include "core/distribution/valuefetcher.h"

#include "core/base/hashing.h"
#include "core/membership/membership.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace wisteriafork {

namespace {
constexpr std::size_t Readers = 2;
// Members that ask the same one for a value; with 2 a service of 31 members has 4 levels below the readers.
constexpr std::size_t Children = 2;
constexpr Duration MissDelay = std::chrono::milliseconds(100);
constexpr Duration MaxMissDelay = std::chrono::seconds(2);
constexpr Duration ServiceDelay = std::chrono::milliseconds(500);
// Time for which others are asked before the configuration service is read, by part in getting the value. The spread keeps the many who
// have no part from reading together.
constexpr Duration StartPatience = std::chrono::milliseconds(300);
constexpr Duration FirstCallerPatience = std::chrono::seconds(2);
constexpr Duration MemberPatience = std::chrono::seconds(3);
constexpr Duration CallerPatience = std::chrono::seconds(4);
constexpr Duration SecondReaderDelay = std::chrono::milliseconds(1500);
constexpr Duration PatienceSpread = std::chrono::seconds(2);
// Greatest time between two pulls of a value by a starting node. It lacks about 20 values at once, for as long as others take to read them
// first; a pull each 500 ms would take twice its message budget, and answers would be dropped.
constexpr Duration MaxStartTimeout = std::chrono::seconds(2);
constexpr unsigned MaxBackoffDoublings = 6;

RequestKey rankKey(const ValueKey &key)
{
    return hashParts({"value reader", formatKey(key)});
}
} // namespace

ValueFetcher::ValueFetcher(const DistributionOptions &options, const Membership &membership, RandomEngine random)
    : m_options(options), m_membership(membership), m_random(random), m_spread(options.blindReadWindow)
{
}

void ValueFetcher::setWanted(ValueFamily family, const std::vector<IndexEntry> &missing, TimePoint now)
{
    std::erase_if(m_wants, [&](const auto &item) {
        return item.first.family == family
            && std::none_of(missing.begin(), missing.end(), [&](const IndexEntry &entry) { return entry.service == item.first.service; });
    });
    for (const IndexEntry &entry : missing) {
        Want &want = m_wants[{.family = family, .service = entry.service}];
        if (want.entry != entry) {
            want = {.entry = entry, .due = now, .serviceDue = now, .asked = {}, .since = now};
            want.spread = std::uniform_real_distribution<double>(0, 1)(m_random);
        }
    }
}

std::vector<ValueFetcher::Request> ValueFetcher::takeDue(TimePoint now, bool ready)
{
    std::vector<Request> requests;
    for (auto &[key, want] : m_wants) {
        if (want.due > now) {
            continue;
        }
        if (requests.size() >= m_options.pullsAtOnce) {
            break;
        }
        std::optional<Request> request = choose(key, want, now, ready);
        const Duration timeout = ready ? m_options.pullTimeout : startTimeout(want.attempts);
        want.due = now + timeout + jittered(timeout / 4);
        ++want.attempts;
        if (request) {
            want.asked = request->to;
            requests.push_back(std::move(*request));
        }
    }
    return requests;
}

Duration ValueFetcher::startTimeout(unsigned attempts) const
{
    return std::min(m_options.pullTimeout * (1U << std::min(attempts, MaxBackoffDoublings)),
                    std::max(MaxStartTimeout, m_options.pullTimeout));
}

std::optional<ValueFetcher::Request> ValueFetcher::choose(const ValueKey &key, Want &want, TimePoint now, bool ready)
{
    const Role role = roleFor(key);
    const bool serviceTurn = now - want.since >= patience(key.family, want, role, ready) && want.serviceDue <= now;
    std::optional<Request> request = serviceTurn ? std::nullopt : choosePeer(key, want, role);
    if (!request && want.serviceDue <= now) {
        request = Request{.key = key, .entry = want.entry, .to = {}, .address = {}};
        want.serviceDue = now + ServiceDelay;
    }
    if (request) {
        request->key = key;
        request->entry = want.entry;
    }
    return request;
}

ValueFetcher::Role ValueFetcher::roleFor(const ValueKey &key) const
{
    const Introduction &self = m_membership.self();
    const RequestKey rank = rankKey(key);
    const std::span<const Candidate> own = m_membership.view(self.service).all;
    Role role{.member = key.service == self.service, .unknown = own.empty(), .rank = 0};
    for (const Candidate &candidate : own) {
        if (candidate.name != self.name && !candidate.suspected && outranks(rank, candidate.name, self.name)) {
            ++role.rank;
        }
    }
    return role;
}

Duration ValueFetcher::patience(ValueFamily family, const Want &want, const Role &role, bool ready) const
{
    const auto spread = [&](Duration whole) {
        return std::chrono::duration_cast<Duration>(whole * want.spread);
    };
    if (role.unknown && role.member && family == ValueFamily::Hosts) {
        return StartPatience + spread(m_spread);
    }
    if (role.unknown) {
        // The own list comes first; it tells who is to read the other values.
        return 2 * CallerPatience + 2 * m_spread + spread(m_spread);
    }
    if (role.member && role.rank < Readers) {
        return ready ? Duration{0} : StartPatience + static_cast<Duration::rep>(role.rank) * SecondReaderDelay;
    }
    if (role.member) {
        return MemberPatience + (ready ? spread(PatienceSpread) : m_spread / 2 + spread(m_spread));
    }
    if (ready) {
        return role.rank < Readers ? FirstCallerPatience + spread(PatienceSpread) : CallerPatience + spread(2 * PatienceSpread);
    }
    // In a cold fleet nobody knows a member of a called service, so its list has to be read once for each service that calls it.
    const Duration callerSpread = std::max(PatienceSpread, m_spread / 2);
    return role.rank == 0 ? FirstCallerPatience + spread(callerSpread) : CallerPatience + callerSpread + spread(m_spread);
}

std::optional<ValueFetcher::Request> ValueFetcher::choosePeer(const ValueKey &key, const Want &want, const Role &role)
{
    const ServiceId &own = m_membership.self().service;
    const bool even = want.attempts % 2 == 0;
    std::optional<Request> request;
    if (role.unknown && !m_contact.name.empty()) {
        request = Request{.key = {}, .entry = {}, .to = m_contact.name, .address = m_contact.address};
    } else if (!role.member && (role.rank < Readers ? even : want.attempts % 4 == 3)) {
        request = anyOf(key.service);
    } else if (role.rank >= Readers && even) {
        request = parent(key, role);
    } else {
        request = anyOf(own);
    }
    return request ? request : anyPeer();
}

std::optional<ValueFetcher::Request> ValueFetcher::parent(const ValueKey &key, const Role &role) const
{
    const RequestKey rank = rankKey(key);
    std::vector<const Candidate *> above;
    for (const Candidate &candidate : m_membership.view(m_membership.self().service).all) {
        if (!candidate.suspected && candidate.name != m_membership.self().name
            && outranks(rank, candidate.name, m_membership.self().name)) {
            above.push_back(&candidate);
        }
    }
    const std::size_t place = (role.rank - Readers) / Children;
    if (place >= above.size()) {
        return std::nullopt;
    }
    const auto chosen = above.begin() + static_cast<std::ptrdiff_t>(place);
    std::nth_element(above.begin(), chosen, above.end(),
                     [&](const Candidate *first, const Candidate *second) { return outranks(rank, first->name, second->name); });
    return Request{.key = {}, .entry = {}, .to = (*chosen)->name, .address = (*chosen)->peerAddress};
}

std::optional<ValueFetcher::Request> ValueFetcher::anyOf(const ServiceId &service)
{
    const ServiceView view = m_membership.view(service);
    if (view.usable == 0) {
        return std::nullopt;
    }
    const Candidate &chosen = view.all[std::uniform_int_distribution<std::size_t>(0, view.usable - 1)(m_random)];
    if (chosen.name == m_membership.self().name) {
        return std::nullopt;
    }
    return Request{.key = {}, .entry = {}, .to = chosen.name, .address = chosen.peerAddress};
}

std::optional<ValueFetcher::Request> ValueFetcher::anyPeer()
{
    const auto peers = m_membership.peers();
    if (peers.empty()) {
        return std::nullopt;
    }
    const Introduction &chosen = peers[std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(m_random)];
    return Request{.key = {}, .entry = {}, .to = chosen.name, .address = chosen.address};
}

void ValueFetcher::noteMiss(const ValueKey &key, TimePoint now)
{
    const auto found = m_wants.find(key);
    if (found != m_wants.end()) {
        const Duration delay = std::min(MissDelay * (1 + found->second.attempts / 2), MaxMissDelay);
        found->second.due = now + delay / 2 + jittered(delay);
    }
}

void ValueFetcher::noteServiceMiss(const ValueKey &key, TimePoint now)
{
    const auto found = m_wants.find(key);
    if (found == m_wants.end()) {
        return;
    }
    Want &want = found->second;
    const Duration delay = std::min(ServiceDelay * (1U << std::min(want.serviceMisses, MaxBackoffDoublings)), m_options.maxReadDelay);
    ++want.serviceMisses;
    want.serviceDue = now + delay / 2 + jittered(delay);
    want.due = now + jittered(MissDelay);
}

void ValueFetcher::noteUnreachable(const NodeId &peer, TimePoint now)
{
    if (m_contact.name == peer) {
        m_contact = {};
    }
    for (auto &[key, want] : m_wants) {
        if (want.asked == peer) {
            want.asked = {};
            want.due = std::min(want.due, now + jittered(MissDelay));
        }
    }
}

void ValueFetcher::noteContact(const Introduction &sender)
{
    if (sender.service != m_membership.self().service || sender.name == m_membership.self().name) {
        return;
    }
    if (m_contact.name.empty()) {
        for (auto &[key, want] : m_wants) {
            want.due = {};
        }
    }
    m_contact = sender;
}

void ValueFetcher::setSpread(Duration spread)
{
    m_spread = spread;
}

const IndexEntry *ValueFetcher::wanted(const ValueKey &key) const
{
    const auto found = m_wants.find(key);
    return found == m_wants.end() ? nullptr : &found->second.entry;
}

bool ValueFetcher::isIdle() const
{
    return m_wants.empty();
}

Duration ValueFetcher::jittered(Duration most)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, std::max<Duration::rep>(most.count(), 1))(m_random));
}

} // namespace wisteriafork
