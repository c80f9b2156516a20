#include "core/quota/quotaborrower.h"

#include "core/base/durationseconds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriafork {

namespace {

// Share of the tokens that the recent rate would use within their lifetime which a node asks for ahead. The rest would often expire.
constexpr double PrefetchShare = 0.8;
// Shortest time after which a refused caller is told to come back.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);

} // namespace

QuotaBorrower::QuotaBorrower(const QuotaBounds &bounds, const QuotaBorrowerOptions &options, std::string ownAddress, const Clock &clock,
                             LenderRanking &ranking, Sender send)
    : m_bounds(bounds)
    , m_options(options)
    , m_ownAddress(std::move(ownAddress))
    , m_clock(clock)
    , m_startTime(clock.now())
    , m_ranking(ranking)
    , m_send(std::move(send))
{
}

Verdict QuotaBorrower::admit(const Workspace &workspace, Resume resume)
{
    if (workspace.ratePerSecond <= 0.0) {
        return Admit{};
    }
    const TimePoint now = m_clock.now();
    Account &account = m_accounts[workspace.name];
    account.recentRequests
        = account.recentRequests * std::exp(-toSeconds(now - account.lastRequest) / toSeconds(m_options.rateDecayTime)) + 1.0;
    account.lastRequest = now;
    if (account.waiting.empty() && takeToken(account)) {
        return Admit{};
    }
    if (!account.isAsking && now < account.refusedUntil) {
        return refusal(account);
    }
    account.split.emplace(workspace, m_bounds);
    account.waiting.push_back(std::move(resume));
    if (!account.isAsking) {
        ask(workspace.name, account, isPaused(m_ranking.placesOf(workspace.name).lender));
    }
    return Pending{};
}

void QuotaBorrower::giveBack(const std::string &workspace)
{
    // The token has been held for a part of its lifetime; the rest is not known, so it can be used for the next request only.
    if (const auto found = m_accounts.find(workspace); found != m_accounts.end() && !found->second.tokens.empty()) {
        ++found->second.tokens.front().count;
    }
}

bool QuotaBorrower::takeToken(Account &account)
{
    const TimePoint now = m_clock.now();
    while (!account.tokens.empty() && (account.tokens.front().count == 0 || account.tokens.front().expiry <= now)) {
        account.tokens.pop_front();
    }
    if (account.tokens.empty()) {
        return false;
    }
    --account.tokens.front().count;
    return true;
}

std::uint32_t QuotaBorrower::tokensWanted(const Account &account) const
{
    const double rate = account.recentRequests / toSeconds(m_options.rateDecayTime);
    const double ahead = std::floor(PrefetchShare * rate * toSeconds(m_bounds.tokenLifetime));
    return static_cast<std::uint32_t>(account.waiting.size()) + static_cast<std::uint32_t>(ahead);
}

bool QuotaBorrower::isPaused(const std::string &address) const
{
    const auto found = m_pausedUntil.find(address);
    return found != m_pausedUntil.end() && m_clock.now() < found->second;
}

void QuotaBorrower::ask(const std::string &workspace, Account &account, bool standby)
{
    const LenderRanking::Places &places = m_ranking.placesOf(workspace);
    const std::string address = standby ? places.standby : places.lender;
    account.isAsking = true;
    account.asksStandby = standby;
    account.askedAt = m_clock.now();
    account.askNumber = ++m_lastAskNumber;
    if (address.empty() || isPaused(address)) {
        // `tick` handles it like a question without an answer.
        account.askedAt -= m_options.askTimeout;
        return;
    }
    const QuotaRequest request{.asks = {{.workspace = workspace,
                                         .asStandby = standby,
                                         .waiting = static_cast<std::uint32_t>(account.waiting.size()),
                                         .wanted = tokensWanted(account)}}};
    m_send(address, request, [this, workspace, number = account.askNumber](const std::optional<QuotaResponse> &response) {
        onAnswer(workspace, number, response);
    });
}

void QuotaBorrower::onAnswer(const std::string &workspace, std::uint64_t askNumber, const std::optional<QuotaResponse> &response)
{
    const auto found = m_accounts.find(workspace);
    if (found == m_accounts.end() || !found->second.isAsking || found->second.askNumber != askNumber) {
        return;
    }
    Account &account = found->second;
    const bool fits = response && response->grants.size() == 1 && response->grants.front().workspace == workspace;
    if (!response) {
        const LenderRanking::Places &places = m_ranking.placesOf(workspace);
        m_pausedUntil[account.asksStandby ? places.standby : places.lender] = m_clock.now() + m_options.unreachablePause;
    }
    if (!fits || !response->grants.front().lends) {
        onAskFailed(workspace, account);
        return;
    }
    const QuotaGrant &grant = response->grants.front();
    account.isAsking = false;
    if (grant.tokens > 0) {
        account.tokens.push_back({.count = grant.tokens, .expiry = account.askedAt + m_bounds.tokenLifetime});
    }
    const TimePoint now = m_clock.now();
    const Duration wait = std::chrono::milliseconds(std::min<std::uint64_t>(grant.retryAfterMs, 3'600'000));
    account.nextRoom = now + wait;
    account.refusedUntil = now + std::min(wait, m_options.maxRefusalTime);
    if (grant.retryAfterMs == 0 && account.waiting.size() > grant.tokens) {
        // Requests that came after the question.
        while (!account.waiting.empty() && takeToken(account)) {
            const Resume resume = std::move(account.waiting.front());
            account.waiting.erase(account.waiting.begin());
            resume(Admit{});
        }
        if (!account.waiting.empty()) {
            ask(workspace, account, false);
        }
        return;
    }
    decideWaiting(account, false);
}

void QuotaBorrower::onAskFailed(const std::string &workspace, Account &account)
{
    if (!account.asksStandby) {
        ask(workspace, account, true);
        return;
    }
    account.isAsking = false;
    const TimePoint now = m_clock.now();
    account.nextRoom = now + m_options.unreachablePause;
    account.refusedUntil = now + m_options.maxRefusalTime;
    const std::size_t localRequests = account.split->localRequests(m_ranking.placeOf(m_ownAddress, workspace), m_ranking.nodeCount());
    if (!account.localAllowance) {
        account.localAllowance.emplace(localRequests, m_bounds.window, m_startTime);
    }
    account.localAllowance->setLimit(localRequests);
    decideWaiting(account, true);
}

void QuotaBorrower::decideWaiting(Account &account, bool mayAdmitLocally)
{
    for (const Resume &resume : std::exchange(account.waiting, {})) {
        const bool admitted = takeToken(account) || (mayAdmitLocally && account.localAllowance->take(1, m_clock.now()) > 0);
        resume(admitted ? Verdict(Admit{}) : refusal(account));
    }
}

Verdict QuotaBorrower::refusal(const Account &account) const
{
    const Duration wait = std::max<Duration>(MinRetryAfter, account.nextRoom - m_clock.now());
    return Refuse{.status = 429, .reason = RefusalReason::OverQuota, .event = "over-quota", .retryAfter = wait};
}

void QuotaBorrower::tick()
{
    const TimePoint now = m_clock.now();
    std::vector<std::string> unanswered;
    for (const auto &[workspace, account] : m_accounts) {
        if (account.isAsking && now - account.askedAt >= m_options.askTimeout) {
            unanswered.push_back(workspace);
        }
    }
    for (const std::string &workspace : unanswered) {
        Account &account = m_accounts.at(workspace);
        const LenderRanking::Places &places = m_ranking.placesOf(workspace);
        m_pausedUntil[account.asksStandby ? places.standby : places.lender] = now + m_options.unreachablePause;
        // The answer may still come; it is ignored.
        account.askNumber = ++m_lastAskNumber;
        onAskFailed(workspace, account);
    }
    std::erase_if(m_pausedUntil, [now](const auto &entry) { return entry.second <= now; });
}

} // namespace wisteriafork
