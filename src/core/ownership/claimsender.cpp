#include "core/ownership/claimsender.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Keys in one claim message, about 12 KB.
constexpr std::size_t MaximumEntries = 500;
// Checks of a witness whose answers are still awaited.
constexpr std::size_t MaximumOpenChecks = 16;

} // namespace

ClaimSender::ClaimSender(const OwnershipOptions &options)
    : m_options(options), m_self{.name = options.self.name, .incarnation = options.self.incarnation}
{
}

void ClaimSender::setTerm(const WitnessTerm &term, TimePoint now)
{
    m_term = term;
    m_changed = true;
    m_preferred = 0;
    m_checks.clear();
    for (const MemberId &witness : term.witnesses) {
        m_checks[witness] = {.answered = now, .sent = {}, .next = now};
    }
    for (auto &[key, claim] : m_outstanding) {
        claim.requestedAt = now;
        claim.attempts = 0;
        claim.timer.reset();
    }
}

const WitnessTerm &ClaimSender::term() const
{
    return m_term;
}

void ClaimSender::request(const RequestKey &key, Duration remaining, TimePoint now)
{
    m_changed = true;
    m_outstanding.insert_or_assign(key,
                                   Outstanding{.remaining = remaining,
                                               .requestedAt = now,
                                               .timer = ResendTimer(m_options.resendInterval, m_options.maximumResendInterval)});
}

bool ClaimSender::outstanding(const RequestKey &key) const
{
    return m_outstanding.contains(key);
}

std::vector<ClaimSender::Acknowledged> ClaimSender::acknowledged(const ClaimAcknowledged &message)
{
    std::vector<Acknowledged> result;
    if (message.term != m_term.term) {
        return result;
    }
    const auto check = m_checks.find(message.witness);
    if (check == m_checks.end()) {
        return result;
    }
    const auto sent = check->second.sent.find(message.sequence);
    if (sent != check->second.sent.end()) {
        check->second.answered = std::max(check->second.answered, sent->second);
        check->second.sent.erase(check->second.sent.begin(), std::next(sent));
    }
    for (const RequestKey &key : message.keys) {
        const auto found = m_outstanding.find(key);
        if (found != m_outstanding.end()) {
            result.push_back({.key = key, .sentAt = found->second.requestedAt});
            m_outstanding.erase(found);
        }
    }
    return result;
}

void ClaimSender::avoid(const NodeId &witness)
{
    if (m_term.witnesses.size() > 1 && m_term.witnesses[m_preferred].name == witness) {
        m_changed = true;
        m_preferred = (m_preferred + 1) % m_term.witnesses.size();
        for (auto &[key, claim] : m_outstanding) {
            claim.attempts = 0;
            claim.timer.reset();
        }
    }
}

void ClaimSender::addChecks(TimePoint now, std::vector<std::pair<MemberId, Claim>> &result)
{
    for (auto &[witness, check] : m_checks) {
        if (now < check.next) {
            continue;
        }
        check.next = now + m_options.witnessCheckInterval;
        check.sent[++m_sequence] = now;
        if (check.sent.size() > MaximumOpenChecks) {
            check.sent.erase(check.sent.begin());
        }
        result.emplace_back(
            witness, Claim{.owner = m_self, .witness = witness.incarnation, .term = m_term.term, .sequence = m_sequence, .entries = {}});
    }
}

void ClaimSender::addClaims(TimePoint now, std::vector<std::pair<MemberId, Claim>> &result)
{
    std::map<std::size_t, std::vector<ClaimEntry>> batches;
    const std::size_t count = m_term.witnesses.size();
    for (auto &[key, claim] : m_outstanding) {
        if (!claim.timer.due(now)) {
            continue;
        }
        claim.timer.sent(now);
        batches[(m_preferred + claim.attempts++) % count].push_back({.key = key, .remaining = claim.remaining});
    }
    for (auto &[index, entries] : batches) {
        const MemberId &witness = m_term.witnesses[index];
        for (std::size_t first = 0; first < entries.size(); first += MaximumEntries) {
            const std::size_t last = std::min(entries.size(), first + MaximumEntries);
            Claim claim{.owner = m_self, .witness = witness.incarnation, .term = m_term.term, .sequence = ++m_sequence, .entries = {}};
            claim.entries.assign(entries.begin() + static_cast<std::ptrdiff_t>(first), entries.begin() + static_cast<std::ptrdiff_t>(last));
            result.emplace_back(witness, std::move(claim));
        }
    }
}

std::vector<std::pair<MemberId, Claim>> ClaimSender::due(TimePoint now, bool tick)
{
    std::vector<std::pair<MemberId, Claim>> result;
    if (m_term.witnesses.empty() || !(tick || m_changed)) {
        return result;
    }
    m_changed = false;
    addChecks(now, result);
    addClaims(now, result);
    return result;
}

bool ClaimSender::witnessesHeard(TimePoint now) const
{
    return std::all_of(m_checks.begin(), m_checks.end(),
                       [this, now](const auto &item) { return now - item.second.answered < m_options.isolationBound; });
}

} // namespace wisteriafork
