#pragma once

#include "core/base/ids.h"
#include "core/quota/quotabounds.h"
#include "core/relay/edgeadmission.h"
#include "core/relay/instancedirectory.h"
#include "core/relay/placement.h"
#include "core/relay/retrybudget.h"
#include "core/relay/servingqueue.h"
#include "net/asio.h"
#include "net/tlscontext.h"
#include "relay/headernames.h"
#include "relay/stopoptions.h"

#include <cstdint>
#include <memory>
#include <string>

namespace wisteriafork {

// Settings of one relay: its host, its listeners and the deployment.
struct RelaySettings
{
    // Name of the node, unique in the fleet.
    std::string node;
    // Service of the local backend server.
    ServiceId service;
    // Failure domain of the host.
    DomainId domain;
    // Listeners for callers and the local backend server, for other nodes, and for the readiness check.
    Tcp::endpoint callerEndpoint;
    Tcp::endpoint peerEndpoint;
    Tcp::endpoint readinessEndpoint;
    // Listener for metrics; none if the port is 0.
    Tcp::endpoint metricsEndpoint;
    // Address of the local backend server.
    Tcp::endpoint serverEndpoint;
    HeaderNames headers;
    // The backend server repeats the request id in its responses, so that a response to another request is detected.
    bool serverEchoesIds = true;
    // TLS with mutual authentication for the sessions between nodes; plain text if null.
    std::shared_ptr<const TlsContext> tls;
    StopOptions stop;
    // Seed of the random choices.
    std::uint64_t seed = 1;
    // Increases with each start of the process.
    Incarnation incarnation = 0;
    // Bytes of all requests and responses that the node buffers together, apart from small ones.
    std::size_t bufferBytes = std::size_t{64} * 1024 * 1024;
    // Connections of callers, and of those who ask for readiness, that may be open at the same time. Beyond it, the one that has waited
    // longest for its caller is closed.
    std::size_t maxCallerConnections = 4096;
    std::size_t maxReadinessConnections = 64;
    EdgeAdmissionOptions admission;
    InstanceDirectoryOptions directory;
    PlacementOptions placement;
    QuotaBounds quotas;
    RetryBudgetOptions retries;
    ServingQueueOptions serving;
};

} // namespace wisteriafork
