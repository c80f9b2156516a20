#pragma once

#include <cstdint>

namespace wisteriafork {

// Numbers of the log events. A number is never given to another event; docs/events.md describes each of them.
enum class EventNumber : std::uint16_t {
    // Process
    NodeStarted = 100,
    NodeStopped = 101,
    DrainStarted = 102,
    DrainFinished = 103,
    DrainCancelled = 104,
    SettingsRejected = 105,
    ListenerFailed = 106,
    PauseNoticed = 107,
    IncarnationChanged = 108,
    DrainBoundReached = 109,
    // Decisions on calls
    CallAdmitted = 200,
    CallQueued = 201,
    CallRefused = 202,
    CallRunLocally = 203,
    CallForwarded = 204,
    CallRetried = 205,
    StoredAnswerReplayed = 206,
    RunningAttemptJoined = 207,
    CallCancelled = 208,
    // Configuration
    ConfigurationInForce = 300,
    ConfigurationHeldBack = 301,
    ConfigurationServiceUnreachable = 302,
    ConfigurationServiceReachable = 303,
    OlderConfigurationIgnored = 304,
    // Membership
    MemberLive = 400,
    MemberSuspected = 401,
    MemberGone = 402,
    MemberLeaving = 403,
    PartitionSuspected = 404,
    PartitionEnded = 405,
    HostListInForce = 406,
    HostListStale = 407,
    HostListContradicted = 408,
    // Overload
    OverloadStarted = 500,
    OverloadEnded = 501,
    LoadEndpointDistrusted = 502,
    LoadEndpointUnreadable = 503,
    // At most once
    OwnerJoined = 600,
    OwnerFenced = 601,
    FenceCompleted = 602,
    WitnessReplaced = 603,
    ClaimsStopped = 604,
    RecordsFull = 605,
    StoredAnswerDropped = 606,
    ColdStartWaiting = 607,
    RecordsReleased = 608,
    // Requests that crash servers
    RequestSuspected = 700,
    RequestBlocked = 701,
    RequestCleared = 702,
    // Network
    PeerNotMember = 800,
    PeerConnectionFailed = 801,
    KeysReloaded = 802,
    KeyReloadFailed = 803,
    AnswerTruncated = 804,
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
};

} // namespace wisteriafork
