#pragma once

#include "core/base/ids.h"
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

// What one relay needs to know of its host and of the deployment.
struct RelaySettings
{
    std::string node;
    ServiceId service;
    DomainId domain;
    // Listeners for callers and the local backend server, for other nodes, and for the readiness check.
    Tcp::endpoint callerEndpoint;
    Tcp::endpoint peerEndpoint;
    Tcp::endpoint readinessEndpoint;
    // Listener for metrics; port 0 means none.
    Tcp::endpoint metricsEndpoint;
    // The local backend server.
    Tcp::endpoint serverEndpoint;
    HeaderNames headers;
    // The backend server repeats the request id in its answers, so that an answer to another request is noticed.
    bool serverEchoesIds = true;
    // Mutual authentication of the sessions between nodes; null means plain text.
    std::shared_ptr<const TlsContext> tls;
    StopOptions stop;
    std::uint64_t seed = 1;
    // Grows with each start of the process.
    Incarnation incarnation = 0;
    EdgeAdmissionOptions admission;
    InstanceDirectoryOptions directory;
    PlacementOptions placement;
    RetryBudgetOptions retries;
    ServingQueueOptions serving;
};

} // namespace wisteriafork
