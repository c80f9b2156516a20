#pragma once

#include "net/peerpool.h"
#include "relay/attemptoutcome.h"
#include "relay/relayparts.h"
#include "relay/relayrequest.h"

#include <memory>
#include <optional>
#include <string>

namespace wisteriafork {

// Sends requests to the nodes beside other instances.
class PeerGateway
{
public:
    explicit PeerGateway(RelayParts &parts);

    // The handler is called once, after this returned, unless the exchange is cancelled.
    std::shared_ptr<ClientExchange> send(const std::string &address, const RelayRequest &request, AttemptHandler handler);
    // Asks a node for what it knows of the published state. The handler gets nothing if there is no answer.
    void fetchSnapshot(const std::string &address, std::function<void(std::optional<std::string>)> handler);
    void stop();

private:
    RelayParts &m_parts;
    PeerPool m_pool;
};

// Path at which nodes give what they know of the published state.
constexpr const char *SnapshotPath = "/published";

// Options of the sessions between relays.
PeerOptions relayPeerOptions();

} // namespace wisteriafork
