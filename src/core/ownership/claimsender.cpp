#include "core/ownership/claimsender.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Keys in one claim message, about 9 KB.
constexpr std::size_t MaximumKeys = 500;
// Bounds on unanswered messages; the answer to a forgotten one is ignored and its keys are claimed again by a resend.
constexpr std::size_t MaximumOpenMessages = 4096;
constexpr int OpenMessageIntervals = 16;

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
    m_open.clear();
    for (const MemberId &witness : term.witnesses) {
        m_checks[witness] = {.answered = now, .next = now};
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
                                               .firstSequence = m_sequence + 1,
                                               .timer = ResendTimer(m_options.resendInterval, m_options.maximumResendInterval)});
}

bool ClaimSender::outstanding(const RequestKey &key) const
{
    return m_outstanding.contains(key);
}

std::vector<ClaimSender::Acknowledged> ClaimSender::acknowledged(const NodeId &from, std::uint64_t sequence)
{
    std::vector<Acknowledged> result;
    const auto message = m_open.find(sequence);
    if (message == m_open.end() || message->second.witness.name != from) {
        return result;
    }
    Check &check = m_checks[message->second.witness];
    check.answered = std::max(check.answered, message->second.sentAt);
    for (const RequestKey &key : message->second.keys) {
        const auto found = m_outstanding.find(key);
        const bool covered
            = found != m_outstanding.end() && (found->second.firstSequence <= sequence || !m_options.mechanisms.claimSequence);
        if (covered) {
            result.push_back({.key = key, .sentAt = found->second.requestedAt});
            m_outstanding.erase(found);
        }
    }
    m_open.erase(message);
    m_changed = true;
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
    for (std::size_t index = 0; index < m_term.witnesses.size(); ++index) {
        if (now >= m_checks[m_term.witnesses[index]].next) {
            addMessage(index, std::chrono::seconds(0), {}, now, result);
        }
    }
}

void ClaimSender::addMessage(std::size_t witness, std::chrono::seconds remaining, std::vector<RequestKey> keys, TimePoint now,
                             std::vector<std::pair<MemberId, Claim>> &result)
{
    const MemberId &to = m_term.witnesses[witness];
    Check &check = m_checks[to];
    // The answer to a claim says as much as the answer to a check.
    check.next = now + m_options.witnessCheckInterval;
    m_open[++m_sequence] = {.witness = to, .sentAt = now, .keys = keys};
    if (!keys.empty()) {
        check.lastClaim = m_sequence;
    }
    result.emplace_back(
        to,
        Claim{.owner = m_self.incarnation, .term = m_term.term, .sequence = m_sequence, .remaining = remaining, .keys = std::move(keys)});
}

bool ClaimSender::awaitsAnswer(const MemberId &witness, TimePoint now) const
{
    const auto check = m_checks.find(witness);
    const auto message = check == m_checks.end() ? m_open.end() : m_open.find(check->second.lastClaim);
    return message != m_open.end() && now - message->second.sentAt < m_options.resendInterval;
}

ClaimSender::Batches ClaimSender::takeDueClaims(TimePoint now)
{
    const std::size_t count = m_term.witnesses.size();
    const std::size_t preferred = m_preferred % count;
    const bool waits = awaitsAnswer(m_term.witnesses[preferred], now);
    std::optional<TimePoint> oldest;
    for (const auto &[key, claim] : m_outstanding) {
        if (claim.attempts == 0) {
            oldest = std::min(oldest.value_or(claim.requestedAt), claim.requestedAt);
        }
    }
    const bool sendNew = !waits || (oldest && now - *oldest >= m_options.claimBatchWindow);
    m_windowEnd = oldest && !sendNew ? std::optional(*oldest + m_options.claimBatchWindow) : std::nullopt;
    Batches batches;
    for (auto &[key, claim] : m_outstanding) {
        if (claim.attempts == 0 ? !sendNew : !claim.timer.due(now)) {
            continue;
        }
        claim.timer.sent(now);
        const std::size_t witness = (preferred + claim.attempts++) % count;
        batches[{witness, std::chrono::ceil<std::chrono::seconds>(claim.remaining)}].push_back(key);
    }
    return batches;
}

void ClaimSender::addClaims(TimePoint now, std::vector<std::pair<MemberId, Claim>> &result)
{
    for (const auto &[target, keys] : takeDueClaims(now)) {
        for (std::size_t first = 0; first < keys.size(); first += MaximumKeys) {
            const std::size_t last = std::min(keys.size(), first + MaximumKeys);
            addMessage(target.first, target.second,
                       {keys.begin() + static_cast<std::ptrdiff_t>(first), keys.begin() + static_cast<std::ptrdiff_t>(last)}, now, result);
        }
    }
}

void ClaimSender::forgetOldMessages(TimePoint now)
{
    const Duration longest = OpenMessageIntervals * m_options.witnessCheckInterval;
    while (!m_open.empty() && (m_open.size() > MaximumOpenMessages || now - m_open.begin()->second.sentAt > longest)) {
        m_open.erase(m_open.begin());
    }
}

std::vector<std::pair<MemberId, Claim>> ClaimSender::due(TimePoint now, bool tick)
{
    std::vector<std::pair<MemberId, Claim>> result;
    const bool windowEnded = m_windowEnd && now >= *m_windowEnd;
    if (m_term.witnesses.empty() || !(tick || m_changed || windowEnded)) {
        return result;
    }
    m_changed = false;
    forgetOldMessages(now);
    addClaims(now, result);
    addChecks(now, result);
    return result;
}

std::optional<TimePoint> ClaimSender::windowEnd() const
{
    return m_windowEnd;
}

bool ClaimSender::witnessesHeard(TimePoint now) const
{
    return std::all_of(m_checks.begin(), m_checks.end(),
                       [this, now](const auto &item) { return now - item.second.answered < m_options.isolationBound; });
}

} // namespace wisteriafork
