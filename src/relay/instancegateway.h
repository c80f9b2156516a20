#pragma once

#include "relay/attemptsender.h"
#include "relay/peergateway.h"
#include "relay/relayparts.h"
#include "relay/servinggateway.h"

namespace wisteriafork {

// Sends requests to the local backend server or to the node beside another one.
class InstanceGateway : public AttemptSender
{
public:
    // All arguments must outlive the object and what it has sent.
    InstanceGateway(const RelayParts &parts, ServingGateway &serving, PeerGateway &peers);

    std::unique_ptr<PendingAttempt> send(const Instance &instance, RelayRequest request, AttemptHandler handler) override;

private:
    const RelayParts &m_parts;
    ServingGateway &m_serving;
    PeerGateway &m_peers;
};

} // namespace wisteriafork
