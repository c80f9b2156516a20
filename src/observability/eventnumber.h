#pragma once

#include <cstdint>

namespace wisteriafork {

// Numbers of the log events, described in docs/events.md. The number of a removed event is never reused.
enum class EventNumber : std::uint16_t {
    // Process
    NodeStarted = 100,
    NodeStopped = 101,
    DrainStarted = 102,
    DrainFinished = 103,
    DrainCancelled = 104,
    ListenerFailed = 106,
    HandlerFailed = 107,
    WaitingRequestsRefused = 108,
    // Configuration
    ConfigurationInForce = 300,
    OlderConfigurationIgnored = 304,
    // Requests that crash backend servers
    RequestSuspected = 700,
    RequestBlocked = 701,
    RequestCleared = 702,
    SuspectsExchanged = 703,
    // Network
    KeysReloaded = 802,
    KeyReloadFailed = 803,
    MessageMalformed = 805,
    // Administration
    AdministrationServed = 900,
    AdministrationDenied = 901,
    AdministrationConnectionLimit = 902,
    // Relay of requests by routes
    RelayAnswered = 1000,
    RelayMoved = 1001,
    DecisionLinesDropped = 1002,
    InstanceListed = 1003,
    InstanceRemoved = 1004,
    InstancesRead = 1005,
    SourceLost = 1006,
    SourceRestored = 1007,
    SettingsReread = 1008,
    PublishedValueRejected = 1009,
    ServingLoad = 1010,
    PeerStateRead = 1011,
    SourceReading = 1012,
    SourceReaderChanged = 1013,
    ServerCallOverdue = 1014,
    SentRequestRefused = 1015,
    SourceRestoredFromCopy = 1016,
    RequestsWithdrawn = 1017,
    // Quotas of workspaces
    QuotaLenderSilent = 1100,
};

} // namespace wisteriafork
