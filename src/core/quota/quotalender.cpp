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
            updateRole(m_lenderRoles, workspace, places.lender == m_ownAddress, split.lender(), split.isolatedLender());
            updateRole(m_standbyRoles, workspace, places.standby == m_ownAddress, split.standby(), {});
        }
    }
}

void QuotaLender::updateRole(Roles &roles, const Workspace &workspace, bool hasRole, const BucketSize &size, const BucketSize &isolatedSize)
{
    const TimePoint now = m_clock.now();
    if (!hasRole) {
        roles.erase(workspace.name);
        return;
    }
    const auto [role, added] = roles.try_emplace(
        workspace.name, Role{.since = now, .bucket = TokenBucket(size, now), .isolatedBucket = TokenBucket(isolatedSize, now)});
    if (!added) {
        role->second.bucket.resize(size, now);
        role->second.isolatedBucket.resize(isolatedSize, now);
    }
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
        response.grants.push_back(lend(ask));
    }
    return response;
}

QuotaGrant QuotaLender::lend(const QuotaAsk &ask)
{
    Roles &roles = ask.asStandby ? m_standbyRoles : m_lenderRoles;
    const auto found = roles.find(ask.workspace);
    QuotaGrant grant{.workspace = ask.workspace};
    if (found == roles.end()) {
        return grant;
    }
    const TimePoint now = m_clock.now();
    Role &role = found->second;
    TokenBucket &bucket = !ask.asStandby && isIsolated() ? role.isolatedBucket : role.bucket;
    // Tokens beyond those that are needed at once are lent only from a bucket that is well filled, so that none expire while others wait.
    const unsigned spare = ask.wanted > ask.waiting ? ask.wanted - ask.waiting : 0;
    const bool isWellFilled = bucket.balance(now) >= 2.0 * (ask.waiting + spare);
    grant.tokens = bucket.take(ask.waiting + (isWellFilled ? spare : 0), now);
    if (grant.tokens >= ask.waiting) {
        grant.lends = true;
        return grant;
    }
    if (grant.tokens == 0 && now - role.since < SettlingTime) {
        return grant;
    }
    grant.lends = true;
    const double decay = std::exp(-toSeconds(now - role.lastRefusal) / toSeconds(RefusalDecayTime));
    role.refusedRequests = role.refusedRequests * decay + (ask.waiting - grant.tokens);
    role.lastRefusal = now;
    // Those that were refused shortly before come back earlier.
    const Duration wait = std::min<Duration>(MaxRetryAfter, bucket.timeUntil(role.refusedRequests, now));
    grant.retryAfterMs = static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
    return grant;
}

} // namespace wisteriafork
