#pragma once

#include "net/peeroptions.h"
#include "net/peersender.h"
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
    // Both must outlive the object.
    PeerGateway(RelayParts &parts, PeerSender &peers);

    // The handler is called once, after this returned, unless the exchange is cancelled.
    std::shared_ptr<ClientExchange> send(const std::string &address, const RelayRequest &request, AttemptHandler handler);
    // Asks a node for what it knows of the published state. The handler gets nothing if there is no answer.
    void fetchSnapshot(const std::string &address, std::function<void(std::optional<std::string>)> handler);
    // Tells a node which requests are suspected of crashing backend servers. Nothing comes back; reports are repeated by their source.
    void sendSuspects(const std::string &address, const std::string &encodedSuspects);

private:
    RelayParts &m_parts;
    PeerSender &m_peers;
};

// Path at which nodes give what they know of the published state.
constexpr const char *SnapshotPath = "/published";
// Path at which nodes take reports on requests that are suspected of crashing backend servers.
constexpr const char *SuspectsPath = "/suspects";

// Options of the sessions between relays.
PeerOptions relayPeerOptions(const RelaySettings &settings);

} // namespace wisteriafork
