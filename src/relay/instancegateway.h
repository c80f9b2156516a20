#pragma once

#include "relay/attemptsender.h"
#include "relay/peergateway.h"
#include "relay/relayparts.h"
#include "relay/servinggateway.h"

namespace wisteriafork {

// Sends a request to the local backend server if the chosen instance is on this host, else to the node beside the instance.
class InstanceGateway : public AttemptSender
{
public:
    // All arguments must outlive the object and the attempts that it has sent.
    InstanceGateway(const RelayParts &parts, ServingGateway &serving, PeerGateway &peers);

    std::unique_ptr<PendingAttempt> send(const Instance &instance, RelayRequest request, AttemptHandler handler) override;

private:
    const RelayParts &m_parts;
    ServingGateway &m_serving;
    PeerGateway &m_peers;
};

} // namespace wisteriafork
