#pragma once

#include "net/serverexchange.h"
#include "relay/relayparts.h"
#include "relay/servinggateway.h"

#include <functional>
#include <string>

namespace wisteriafork {

// Takes the requests of other nodes: for the local backend server, and for what this node knows of the published state.
class PeerHandler : public ServerHandler
{
public:
    // `snapshot` gives what is published, as this node knows it.
    PeerHandler(RelayParts &parts, ServingGateway &serving, std::function<std::string()> snapshot);

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
    void handleCancellation(ServerExchange &exchange) override;

private:
    RelayParts &m_parts;
    ServingGateway &m_serving;
    const std::function<std::string()> m_snapshot;
};

} // namespace wisteriafork
