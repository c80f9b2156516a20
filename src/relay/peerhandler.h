#pragma once

#include "net/serverexchange.h"
#include "relay/changestext.h"
#include "relay/quotagateway.h"
#include "relay/relayparts.h"
#include "relay/servinggateway.h"
#include "relay/suspectgateway.h"

#include <functional>
#include <string>

namespace wisteriafork {

// Handles the requests of other nodes: calls to the local backend server, reports on crash suspects, and snapshots of the published state.
class PeerHandler : public ServerHandler
{
public:
    // `snapshot` returns the published state as this node knows it, encoded for other nodes.
    // `onChangesRequested` handles requests for published changes; null if the deployment has none.
    PeerHandler(RelayParts &parts, ServingGateway &serving, QuotaGateway &quotas, SuspectGateway &suspects,
                std::function<std::string()> snapshot,
                std::function<void(const ChangesText &, std::function<void(ChangesText)>)> onChangesRequested);

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
    void handleCancellation(ServerExchange &exchange) override;

private:
    // Sends the answer to a question of another node, or status 400 and a log line if it is empty.
    void respondToQuestion(ServerExchange &exchange, std::string answer, const char *errorIfEmpty);

    RelayParts &m_parts;
    ServingGateway &m_serving;
    QuotaGateway &m_quotas;
    SuspectGateway &m_suspects;
    const std::function<std::string()> m_snapshot;
    const std::function<void(const ChangesText &, std::function<void(ChangesText)>)> m_onChangesRequested;
};

} // namespace wisteriafork
