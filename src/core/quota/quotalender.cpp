#include "core/quota/quotalender.h"

#include "core/base/durationseconds.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Time after taking a role in which an empty bucket is no sign that the quota is used up.
constexpr Duration SettlingTime = std::chrono::seconds(1);
// Time in which the sum of refused requests decays by a factor of e, and the longest time that callers are told to wait.
constexpr Duration RefusalDecayTime = std::chrono::seconds(1);
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);

} // namespace

QuotaLender::QuotaLender(const QuotaBounds &bounds, std::string ownAddress, const Clock &clock)
    : m_bounds(bounds), m_ownAddress(std::move(ownAddress)), m_clock(clock)
{
}

void QuotaLender::setWorkspaces(std::shared_ptr<const WorkspaceTable> workspaces, LenderRanking &ranking)
{
    m_workspaces = std::move(workspaces);
    const auto isGone = [this](const auto &entry) {
        const Workspace *workspace = m_workspaces ? m_workspaces->findByName(entry.first) : nullptr;
        return workspace == nullptr || workspace->ratePerSecond <= 0.0;
    };
    std::erase_if(m_lenderRoles, isGone);
    std::erase_if(m_standbyRoles, isGone);
    updateRoles(ranking);
}

void QuotaLender::updateRoles(LenderRanking &ranking)
{
    if (!m_workspaces) {
        return;
    }
    for (const Workspace &workspace : m_workspaces->workspaces()) {
        if (workspace.ratePerSecond > 0.0) {
            const QuotaSplit split(workspace, m_bounds);
            const LenderRanking::Places &places = ranking.placesOf(workspace.name);
            updateLenderRole(workspace, split, places.lender == m_ownAddress);
            updateStandbyRole(workspace, split, places.standby == m_ownAddress);
        }
    }
}

void QuotaLender::updateLenderRole(const Workspace &workspace, const QuotaSplit &split, bool hasRole)
{
    if (!hasRole) {
        m_lenderRoles.erase(workspace.name);
        return;
    }
    const TimePoint now = m_clock.now();
    const auto [role, added] = m_lenderRoles.try_emplace(
        workspace.name,
        LenderRole{.since = now,
                   .bucket = TokenBucket(split.lender(), now),
                   .isolatedAllowance = WindowAllowance(split.isolatedRequests(), m_bounds.lendingTime(), now)});
    if (!added) {
        role->second.bucket.resize(split.lender(), now);
        role->second.isolatedAllowance.setLimit(split.isolatedRequests());
    }
}

void QuotaLender::updateStandbyRole(const Workspace &workspace, const QuotaSplit &split, bool hasRole)
{
    if (!hasRole) {
        m_standbyRoles.erase(workspace.name);
        return;
    }
    const auto [role, added]
        = m_standbyRoles.try_emplace(workspace.name, WindowAllowance(split.standbyRequests(), m_bounds.lendingTime(), m_clock.now()));
    role->second.setLimit(split.standbyRequests());
}

void QuotaLender::onSourceLost(TimePoint lastContact)
{
    m_sourceLostSince = lastContact;
}

void QuotaLender::onSourceRestored()
{
    m_sourceLostSince.reset();
}

bool QuotaLender::isIsolated() const
{
    return m_sourceLostSince && m_clock.now() - *m_sourceLostSince > m_bounds.maxLendingWithoutSource;
}

QuotaResponse QuotaLender::lend(const QuotaRequest &request)
{
    QuotaResponse response;
    for (const QuotaAsk &ask : request.asks) {
        response.grants.push_back(ask.asStandby ? lendAsStandby(ask) : lendAsLender(ask));
    }
    return response;
}

QuotaGrant QuotaLender::grantFrom(WindowAllowance &allowance, const QuotaAsk &ask) const
{
    const TimePoint now = m_clock.now();
    QuotaGrant grant{.workspace = ask.workspace, .lends = true, .tokens = allowance.take(ask.waiting, now)};
    if (grant.tokens < ask.waiting) {
        grant.retryAfterMs = static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(allowance.timeUntilNext(now)).count());
    }
    return grant;
}

QuotaGrant QuotaLender::lendAsStandby(const QuotaAsk &ask)
{
    const auto found = m_standbyRoles.find(ask.workspace);
    return found == m_standbyRoles.end() ? QuotaGrant{.workspace = ask.workspace} : grantFrom(found->second, ask);
}

QuotaGrant QuotaLender::lendAsLender(const QuotaAsk &ask)
{
    const auto found = m_lenderRoles.find(ask.workspace);
    if (found == m_lenderRoles.end()) {
        return {.workspace = ask.workspace};
    }
    LenderRole &role = found->second;
    if (isIsolated()) {
        return grantFrom(role.isolatedAllowance, ask);
    }
    const TimePoint now = m_clock.now();
    QuotaGrant grant{.workspace = ask.workspace};
    // Tokens beyond those that are needed at once are lent only from a bucket that is well filled, so that none expire while others wait.
    const unsigned spare = ask.wanted > ask.waiting ? ask.wanted - ask.waiting : 0;
    const bool isWellFilled = role.bucket.balance(now) >= 2.0 * (ask.waiting + spare);
    grant.tokens = role.bucket.take(ask.waiting + (isWellFilled ? spare : 0), now);
    grant.lends = grant.tokens > 0 || now - role.since >= SettlingTime;
    if (grant.tokens >= ask.waiting || !grant.lends) {
        return grant;
    }
    const double decay = std::exp(-toSeconds(now - role.lastRefusal) / toSeconds(RefusalDecayTime));
    role.refusedRequests = role.refusedRequests * decay + (ask.waiting - grant.tokens);
    role.lastRefusal = now;
    // Those that were refused shortly before come back earlier.
    const Duration wait = std::min<Duration>(MaxRetryAfter, role.bucket.timeUntil(role.refusedRequests, now));
    grant.retryAfterMs = static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
    return grant;
}

} // namespace wisteriafork
