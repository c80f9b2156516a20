#pragma once

#include "core/quota/lenderranking.h"
#include "core/quota/quotamessages.h"
#include "core/quota/tokenbucket.h"
#include "core/quota/windowallowance.h"
#include "core/workspace/workspacetable.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace wisteriafork {

// Lends tokens of the workspaces for which this node is the lender or the standby by its own list. A role begins without tokens, so that a
// restart or a change of the list admits nothing twice. A lender without contact to the source of the list goes
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
    struct LenderRole
    {
        TimePoint since;
        TokenBucket bucket;
        // Used instead of the bucket without contact to the source.
        WindowAllowance isolatedAllowance;
        // Requests that got no token, as a moving sum over about a second.
        double refusedRequests = 0.0;
        TimePoint lastRefusal;
    };

    void updateLenderRole(const Workspace &workspace, const QuotaSplit &split, bool hasRole);
    void updateStandbyRole(const Workspace &workspace, const QuotaSplit &split, bool hasRole);
    QuotaGrant lendAsLender(const QuotaAsk &ask);
    QuotaGrant lendAsStandby(const QuotaAsk &ask);
    // Grants what the allowance permits, and tells when there is more.
    QuotaGrant grantFrom(WindowAllowance &allowance, const QuotaAsk &ask) const;
    bool isIsolated() const;

    const QuotaBounds m_bounds;
    const std::string m_ownAddress;
    const Clock &m_clock;
    std::shared_ptr<const WorkspaceTable> m_workspaces;
    std::unordered_map<std::string, LenderRole> m_lenderRoles;
    std::unordered_map<std::string, WindowAllowance> m_standbyRoles;
    std::optional<TimePoint> m_sourceLostSince;
};

} // namespace wisteriafork
