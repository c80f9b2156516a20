#pragma once

#include "net/serverexchange.h"
#include "relay/relayparts.h"
#include "relay/servinggateway.h"

#include <functional>
#include <string>

namespace wisteriafork {

// Handles the requests of other nodes: calls to the local backend server, reports on crash suspects, and snapshots of the published state.
class PeerHandler : public ServerHandler
{
public:
    // `snapshot` returns the published state as this node knows it, encoded for other nodes.
    PeerHandler(RelayParts &parts, ServingGateway &serving, std::function<std::string()> snapshot);

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
    void handleCancellation(ServerExchange &exchange) override;

private:
    RelayParts &m_parts;
    ServingGateway &m_serving;
    const std::function<std::string()> m_snapshot;
};

} // namespace wisteriafork
