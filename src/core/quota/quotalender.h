#pragma once

#include "core/quota/lenderranking.h"
#include "core/quota/quotamessages.h"
#include "core/quota/tokenbucket.h"
#include "core/workspace/workspacetable.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace wisteriafork {

// Lends tokens of the workspaces for which this node is the lender or the standby by its own list. Every bucket starts empty when the node
// takes the role, so that a restart or a change of the list admits nothing twice. A lender without contact to the source of the list goes
// on for a time and then lends a small part only, because others may have replaced it. Answers the load of workspaces that send more than
// their quota over many nodes. Not thread safe.
class QuotaLender
{
public:
    QuotaLender(const QuotaBounds &bounds, std::string ownAddress, const Clock &clock);

    // Applies the workspaces of a new configuration; null if it has none.
    void setWorkspaces(std::shared_ptr<const WorkspaceTable> workspaces, LenderRanking &ranking);
    // The list of nodes has changed: takes and gives up roles.
    void updateRoles(LenderRanking &ranking);
    // The node has lost contact to the source of the list, the last one was at `lastContact`; or has it again.
    void onSourceLost(TimePoint lastContact);
    void onSourceRestored();

    QuotaResponse lend(const QuotaRequest &request);

private:
    struct Role
    {
        TimePoint since;
        TokenBucket bucket;
        // For a lender without contact to the source.
        TokenBucket isolatedBucket;
        // Requests that got no token, as a moving sum over about a second.
        double refusedRequests = 0.0;
        TimePoint lastRefusal;
    };

    using Roles = std::unordered_map<std::string, Role>;

    void updateRole(Roles &roles, const Workspace &workspace, bool hasRole, const BucketSize &size, const BucketSize &isolatedSize);
    QuotaGrant lend(const QuotaAsk &ask);
    bool isIsolated() const;

    const QuotaBounds m_bounds;
    const std::string m_ownAddress;
    const Clock &m_clock;
    std::shared_ptr<const WorkspaceTable> m_workspaces;
    Roles m_lenderRoles;
    Roles m_standbyRoles;
    std::optional<TimePoint> m_sourceLostSince;
};

} // namespace wisteriafork
