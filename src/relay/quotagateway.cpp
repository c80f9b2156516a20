#include "relay/quotagateway.h"

#include "net/codec.h"

#include <algorithm>

namespace wisteriafork {

QuotaGateway::QuotaGateway(RelayParts &parts, PeerGateway &peers)
    : m_parts(parts)
    , m_peers(peers)
    , m_lender(parts.settings.quotas, parts.ownPeerAddress, parts.clock)
    , m_borrower(parts.settings.quotas, {}, parts.ownPeerAddress, parts.clock, m_ranking,
                 [this](const std::string &address, const QuotaRequest &request, QuotaBorrower::ResponseHandler handler) {
                     send(address, request, std::move(handler));
                 })
{
}

Verdict QuotaGateway::admit(const Workspace &workspace, QuotaBorrower::Resume resume)
{
    return m_borrower.admit(workspace, std::move(resume));
}

void QuotaGateway::giveBack(const std::string &workspace)
{
    m_borrower.giveBack(workspace);
}

void QuotaGateway::applyWorkspaces()
{
    const auto hasQuota = [](const Workspace &workspace) {
        return workspace.ratePerSecond > 0.0;
    };
    m_hasQuotas = m_parts.workspaces && std::ranges::any_of(m_parts.workspaces->workspaces(), hasQuota);
    m_appliedListChanges = 0;
    tick();
    m_lender.setWorkspaces(m_parts.workspaces, m_ranking);
}

void QuotaGateway::onSourceLost(TimePoint lastContact)
{
    m_lender.onSourceLost(lastContact);
}

void QuotaGateway::onSourceRestored()
{
    m_lender.onSourceRestored();
}

std::string QuotaGateway::answer(const std::string &encodedRequest)
{
    const auto request = decodeMessage<QuotaRequest>(encodedRequest);
    if (!request) {
        return {};
    }
    for (const QuotaAsk &ask : request->asks) {
        m_parts.metrics.count(ask.asStandby ? RelayCounter::QuotaStandbyQuestions : RelayCounter::QuotaQuestions);
    }
    return encodeMessage(m_lender.lend(*request));
}

void QuotaGateway::poll()
{
    m_borrower.tick();
}

void QuotaGateway::tick()
{
    if (!m_hasQuotas || m_appliedListChanges == m_parts.directory.changeCount()) {
        return;
    }
    m_appliedListChanges = m_parts.directory.changeCount();
    std::set<std::string> nodes;
    for (const Instance &instance : m_parts.directory.allInstances()) {
        if (!instance.draining) {
            nodes.insert(instance.peerAddress);
        }
    }
    m_ranking.setNodes(std::move(nodes));
    m_lender.updateRoles(m_ranking);
}

void QuotaGateway::send(const std::string &address, const QuotaRequest &request, QuotaBorrower::ResponseHandler handler)
{
    if (address == m_parts.ownPeerAddress) {
        asio::post(m_parts.context, [this, request, handler = std::move(handler)] { handler(m_lender.lend(request)); });
        return;
    }
    m_peers.askForQuota(
        address, encodeMessage(request), [this, address, handler = std::move(handler)](const std::optional<std::string> &text) {
            const auto response = text ? decodeMessage<QuotaResponse>(*text) : std::nullopt;
            if (!response) {
                m_parts.metrics.count(RelayCounter::QuotaLenderSilent);
                m_parts.log.writeDecision(EventNumber::QuotaLenderSilent, false, [&] { return std::vector<std::string>{address}; });
            }
            handler(response);
        });
}

} // namespace wisteriafork
