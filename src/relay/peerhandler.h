#pragma once

#include "net/serverexchange.h"
#include "relay/relayparts.h"
#include "relay/servinggateway.h"

namespace wisteriafork {

// Takes the requests of other nodes for the local backend server.
class PeerHandler : public ServerHandler
{
public:
    PeerHandler(RelayParts &parts, ServingGateway &serving);

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
    void handleGone(ServerExchange &exchange) override;

private:
    RelayParts &m_parts;
    ServingGateway &m_serving;
};

} // namespace wisteriafork
