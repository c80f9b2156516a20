#pragma once

#include "net/peerpool.h"
#include "relay/attemptoutcome.h"
#include "relay/relayparts.h"
#include "relay/relayrequest.h"

#include <memory>
#include <string>

namespace wisteriafork {

// Sends requests to the nodes beside other instances.
class PeerGateway
{
public:
    explicit PeerGateway(RelayParts &parts);

    // The handler is called once, after this returned, unless the exchange is cancelled.
    std::shared_ptr<ClientExchange> send(const std::string &address, const RelayRequest &request, AttemptHandler handler);
    void stop();

private:
    RelayParts &m_parts;
    PeerPool m_pool;
};

// Options of the sessions between relays.
PeerOptions relayPeerOptions();

} // namespace wisteriafork
