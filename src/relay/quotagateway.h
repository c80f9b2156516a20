#pragma once

#include "core/quota/quotaborrower.h"
#include "core/quota/quotalender.h"
#include "relay/peergateway.h"
#include "relay/relayparts.h"

#include <cstdint>
#include <string>

namespace wisteriafork {

// The quotas of workspaces at one node: borrows tokens for the requests that enter here, and lends those for which this node is the lender.
// Sends and does nothing unless the configuration has a workspace with a quota.
class QuotaGateway
{
public:
    // Both must outlive the object.
    QuotaGateway(RelayParts &parts, PeerGateway &peers);

    // Decides on a request of a caller, see `QuotaBorrower::admit`.
    Verdict admit(const Workspace &workspace, QuotaBorrower::Resume resume);
    void giveBack(const std::string &workspace);
    // Applies the workspaces of the configuration in force.
    void applyWorkspaces();
    void onSourceLost(TimePoint lastContact);
    void onSourceRestored();
    // Answers the question of another node; empty if it is malformed.
    std::string answer(const std::string &encodedRequest);
    // Handles questions without an answer. Call every 20 ms.
    void poll();
    // Takes over changes of the list of instances. Call every 100 ms.
    void tick();

private:
    void send(const std::string &address, const QuotaRequest &request, QuotaBorrower::ResponseHandler handler);

    RelayParts &m_parts;
    PeerGateway &m_peers;
    LenderRanking m_ranking;
    QuotaLender m_lender;
    QuotaBorrower m_borrower;
    bool m_hasQuotas = false;
    // State of the list of instances that the ranking is made of.
    std::uint64_t m_appliedListChanges = 0;
};

} // namespace wisteriafork
