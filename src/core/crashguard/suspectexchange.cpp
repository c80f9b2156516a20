#include "core/crashguard/suspectexchange.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <span>

namespace wisteriafork {

namespace {

// Bounds of the factor by which the intervals vary, so that nodes that start together do not ask together.
constexpr double MinIntervalFactor = 0.75;
constexpr double MaxIntervalFactor = 1.25;

} // namespace

SuspectExchange::SuspectExchange(CrashGuard &guard, const SuspectExchangeOptions &options, std::string ownAddress, const Clock &clock,
                                 std::uint64_t seed)
    : m_guard(guard)
    , m_options(options)
    , m_ownAddress(std::move(ownAddress))
    , m_clock(clock)
    , m_random(seed)
    , m_quickQuestionsLeft(options.quickQuestions)
{
}

bool SuspectExchange::isQuestionDue()
{
    const TimePoint now = m_clock.now();
    if (const std::uint64_t digest = m_guard.digest(); digest != m_lastDigest) {
        m_lastDigest = digest;
        m_quickQuestionsLeft = m_options.quickQuestions;
        m_nextQuestion = std::max(m_pausedUntil, std::min(m_nextQuestion, now + m_options.quickInterval));
    }
    if (m_isAsking && now - m_askedAt >= m_options.answerTimeout) {
        onAnswer(std::nullopt);
    }
    return !m_isAsking && now >= m_nextQuestion;
}

std::optional<std::string> SuspectExchange::beginQuestion(const std::set<std::string> &nodes)
{
    if (!m_pageStart) {
        m_askedNode = chooseNode(nodes);
    }
    if (m_askedNode.empty()) {
        // The list of nodes is not known yet.
        return std::nullopt;
    }
    m_isAsking = true;
    m_askedAt = m_clock.now();
    return m_askedNode;
}

std::string SuspectExchange::chooseNode(const std::set<std::string> &nodes)
{
    if (m_lastFailed) {
        // The partners may be lost together, for example with their failure domain.
        std::vector<std::string> others(nodes.begin(), nodes.end());
        std::erase(others, m_ownAddress);
        if (others.empty()) {
            return {};
        }
        return others[std::uniform_int_distribution<std::size_t>(0, others.size() - 1)(m_random)];
    }
    const std::vector<std::string> partners = choosePartners(nodes);
    return partners.empty() ? std::string() : partners[m_turn++ % partners.size()];
}

std::vector<std::string> SuspectExchange::choosePartners(const std::set<std::string> &nodes) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    const std::uint64_t ownHash = hash64(m_ownAddress);
    for (const std::string &node : nodes) {
        if (node != m_ownAddress) {
            ranked.emplace_back(hash64(node, ownHash), node);
        }
    }
    const std::size_t count = std::min(m_options.partners, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<std::string> partners;
    for (std::size_t index = 0; index < count; ++index) {
        partners.push_back(std::move(ranked[index].second));
    }
    return partners;
}

SuspectQuestion SuspectExchange::question() const
{
    return {.digest = m_guard.digest(), .isContinued = m_pageStart.has_value(), .pageStart = m_pageStart.value_or(RequestKey{})};
}

std::optional<SuspectExchange::Difference> SuspectExchange::onAnswer(const std::optional<SuspectAnswer> &answer)
{
    if (!std::exchange(m_isAsking, false)) {
        return std::nullopt;
    }
    m_lastFailed = !answer;
    const std::uint64_t ownDigest = m_guard.digest();
    if (!answer || (answer->digest == ownDigest && !answer->hasMore)) {
        m_pageStart.reset();
        m_reportsOfExchange = 0;
        const bool quick = m_quickQuestionsLeft > 0;
        m_quickQuestionsLeft -= quick ? 1 : 0;
        scheduleNext(quick ? m_options.quickInterval : m_options.idleInterval);
        return std::nullopt;
    }
    Difference difference{.received = answer->known.suspects.size()};
    m_guard.onReportsReceived(answer->known);
    m_reportsOfExchange += difference.received;
    if (answer->hasMore && !answer->known.suspects.empty()) {
        m_pageStart = answer->known.suspects.back().fingerprint;
        scheduleNext(Duration(0));
        return difference;
    }
    m_pageStart.reset();
    if (m_guard.digest() != answer->digest) {
        const std::vector<SuspectReport> all = m_guard.allReports().suspects;
        m_reportsOfExchange += all.size();
        for (std::span<const SuspectReport> rest = all; !rest.empty();) {
            const auto part = rest.first(std::min(rest.size(), m_options.reportsPerMessage));
            difference.replies.push_back({.suspects = {part.begin(), part.end()}});
            rest = rest.subspan(part.size());
        }
    }
    m_lastDigest = m_guard.digest();
    m_quickQuestionsLeft = m_options.quickQuestions;
    const Duration pause = m_options.pausePerReport * std::exchange(m_reportsOfExchange, 0);
    m_pausedUntil = m_clock.now() + pause;
    scheduleNext(std::max(m_options.quickInterval, pause));
    return difference;
}

SuspectAnswer SuspectExchange::answer(const SuspectQuestion &question) const
{
    SuspectAnswer answer{.digest = m_guard.digest()};
    if (answer.digest == question.digest) {
        return answer;
    }
    SuspectPage page
        = m_guard.reportsAfter(question.isContinued ? std::optional(question.pageStart) : std::nullopt, m_options.reportsPerMessage);
    answer.known.suspects = std::move(page.reports);
    answer.hasMore = page.hasMore;
    return answer;
}

void SuspectExchange::scheduleNext(Duration interval)
{
    const double factor = std::uniform_real_distribution<double>(MinIntervalFactor, MaxIntervalFactor)(m_random);
    m_nextQuestion = m_clock.now() + std::chrono::duration_cast<Duration>(interval * factor);
}

} // namespace wisteriafork
