#pragma once

#include "nodeprocess.h"
#include "standinserver.h"

#include <chrono>
#include <memory>
#include <string>

namespace wisteriafork {

struct NodePairOptions
{
    std::chrono::microseconds longestDelay{0};
    unsigned workers = 2;
    std::chrono::milliseconds drainGrace{500};
    // Level of the log of the nodes.
    std::string logLevel = "info";
    // Settings member for the transport between the nodes.
    std::string transport = R"("plaintext": true)";
};

// Two node processes: an edge node, beside a service that no test calls, and a serving node beside a stand-in server of the service
// "registar". A call through the edge node so takes both nodes.
class NodePair
{
public:
    explicit NodePair(const NodePairOptions &options);
    ~NodePair();

    StandinServer server;
    const std::string directory;
    const std::uint16_t edgePort = freePort();
    const std::uint16_t edgeLocalPort = freePort();
    const std::uint16_t edgePeerPort = freePort();
    const std::uint16_t servingPort = freePort();
    const std::uint16_t servingLocalPort = freePort();
    const std::uint16_t servingPeerPort = freePort();
    std::unique_ptr<NodeProcess> edge;
    std::unique_ptr<NodeProcess> serving;

private:
    std::string settings(const NodePairOptions &options, bool edgeNode) const;
};

} // namespace wisteriafork
