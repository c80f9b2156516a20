#include "observability/eventcatalogue.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace wisteriafork {

namespace {

using Number = EventNumber;
using Severity = LogSeverity;

template <std::size_t count>
using Names = std::array<std::string_view, count>;

constexpr Names<6> Started{"node", "incarnation", "service", "domain", "peerAddress", "version"};
constexpr Names<1> Reason{"reason"};
constexpr Names<2> DrainFinished{"releasedRecords", "seconds"};
constexpr Names<1> Findings{"findings"};
constexpr Names<3> Listener{"listener", "address", "error"};
constexpr Names<1> Pause{"milliseconds"};
constexpr Names<2> IncarnationChange{"old", "new"};
constexpr Names<2> BrokenOff{"callsInFlight", "seconds"};
constexpr Names<4> Decision{"request", "service", "node", "reason"};
constexpr Names<2> ConfigurationVersion{"version", "source"};
constexpr Names<3> HeldBack{"version", "inForce", "findings"};
constexpr Names<2> PlatformRead{"key", "seconds"};
constexpr Names<2> OlderVersion{"version", "inForce"};
constexpr Names<4> Member{"node", "incarnation", "domain", "evidence"};
constexpr Names<2> Partition{"domain", "unreachable"};
constexpr Names<3> HostListVersion{"service", "version", "members"};
constexpr Names<2> HostListAge{"service", "seconds"};
constexpr Names<2> Contradiction{"node", "evidence"};
constexpr Names<3> OverloadStart{"service", "limit", "refusedShare"};
constexpr Names<3> OverloadEnd{"service", "durationSeconds", "recoverySeconds"};
constexpr Names<3> Distrust{"service", "reported", "observed"};
constexpr Names<2> LoadEndpoint{"address", "error"};
constexpr Names<2> Term{"term", "witnesses"};
constexpr Names<2> Incarnation{"node", "incarnation"};
constexpr Names<3> Fence{"node", "incarnation", "claims"};
constexpr Names<3> Witness{"old", "new", "term"};
constexpr Names<1> Seconds{"seconds"};
constexpr Names<1> Records{"records"};
constexpr Names<2> Dropped{"answers", "bytes"};
constexpr Names<2> Released{"records", "receivers"};
constexpr Names<3> Fingerprint{"fingerprint", "service", "crashes"};
constexpr Names<2> PeerRefused{"address", "reason"};
constexpr Names<3> PeerConnection{"node", "address", "error"};
constexpr Names<2> Keys{"listener", "subject"};
constexpr Names<2> KeyFailure{"listener", "error"};
constexpr Names<3> Truncated{"request", "service", "bytes"};
constexpr Names<2> Malformed{"source", "error"};
constexpr Names<4> Served{"token", "method", "path", "status"};
constexpr Names<4> Denied{"address", "method", "path", "reason"};
constexpr Names<2> Connections{"address", "limit"};

constexpr Names<10> RelayAnswer{"request", "route",    "instance", "outcome", "status",
                                "seconds", "attempts", "pressure", "version", "origin"};
constexpr Names<5> RelayMove{"request", "route", "instance", "reason", "listed"};
constexpr Names<1> DroppedLines{"lines"};
constexpr Names<4> ListedInstance{"instance", "service", "address", "state"};
constexpr Names<1> InstanceName{"instance"};
constexpr Names<1> InstanceCount{"instances"};
constexpr Names<1> File{"file"};
constexpr Names<2> PublishedValue{"key", "error"};
constexpr Names<2> PeerState{"address", "items"};
constexpr Names<6> Load{"limit", "running", "queued", "waitMs", "pressure", "openCalls"};

constexpr std::array Catalogue{
    EventDescription{Number::NodeStarted, "node-started", Severity::Info, Started},
    EventDescription{Number::NodeStopped, "node-stopped", Severity::Info, Reason},
    EventDescription{Number::DrainStarted, "drain-started", Severity::Info, Reason},
    EventDescription{Number::DrainFinished, "drain-finished", Severity::Info, DrainFinished},
    EventDescription{Number::DrainCancelled, "drain-cancelled", Severity::Info, Reason},
    EventDescription{Number::SettingsRejected, "settings-rejected", Severity::Error, Findings},
    EventDescription{Number::ListenerFailed, "listener-failed", Severity::Error, Listener},
    EventDescription{Number::PauseNoticed, "pause-noticed", Severity::Warning, Pause},
    EventDescription{Number::IncarnationChanged, "incarnation-changed", Severity::Warning, IncarnationChange},
    EventDescription{Number::DrainBoundReached, "drain-bound-reached", Severity::Error, BrokenOff},
    EventDescription{Number::CallAdmitted, "call-admitted", Severity::Info, Decision},
    EventDescription{Number::CallQueued, "call-queued", Severity::Info, Decision},
    EventDescription{Number::CallRefused, "call-refused", Severity::Info, Decision},
    EventDescription{Number::CallRunLocally, "call-run-locally", Severity::Info, Decision},
    EventDescription{Number::CallForwarded, "call-forwarded", Severity::Info, Decision},
    EventDescription{Number::CallRetried, "call-retried", Severity::Info, Decision},
    EventDescription{Number::StoredAnswerReplayed, "stored-answer-replayed", Severity::Info, Decision},
    EventDescription{Number::RunningAttemptJoined, "running-attempt-joined", Severity::Info, Decision},
    EventDescription{Number::CallCancelled, "call-cancelled", Severity::Info, Decision},
    EventDescription{Number::ConfigurationInForce, "configuration-in-force", Severity::Info, ConfigurationVersion},
    EventDescription{Number::ConfigurationHeldBack, "configuration-held-back", Severity::Error, HeldBack},
    EventDescription{Number::ConfigurationServiceUnreachable, "configuration-service-unreachable", Severity::Warning, PlatformRead},
    EventDescription{Number::ConfigurationServiceReachable, "configuration-service-reachable", Severity::Info, PlatformRead},
    EventDescription{Number::OlderConfigurationIgnored, "older-configuration-ignored", Severity::Warning, OlderVersion},
    EventDescription{Number::MemberLive, "member-live", Severity::Info, Member},
    EventDescription{Number::MemberSuspected, "member-suspected", Severity::Warning, Member},
    EventDescription{Number::MemberGone, "member-gone", Severity::Warning, Member},
    EventDescription{Number::MemberLeaving, "member-leaving", Severity::Info, Member},
    EventDescription{Number::PartitionSuspected, "partition-suspected", Severity::Error, Partition},
    EventDescription{Number::PartitionEnded, "partition-ended", Severity::Info, Partition},
    EventDescription{Number::HostListInForce, "host-list-in-force", Severity::Info, HostListVersion},
    EventDescription{Number::HostListStale, "host-list-stale", Severity::Warning, HostListAge},
    EventDescription{Number::HostListContradicted, "host-list-contradicted", Severity::Warning, Contradiction},
    EventDescription{Number::OverloadStarted, "overload-started", Severity::Warning, OverloadStart},
    EventDescription{Number::OverloadEnded, "overload-ended", Severity::Info, OverloadEnd},
    EventDescription{Number::LoadEndpointDistrusted, "load-endpoint-distrusted", Severity::Warning, Distrust},
    EventDescription{Number::LoadEndpointUnreadable, "load-endpoint-unreadable", Severity::Warning, LoadEndpoint},
    EventDescription{Number::OwnerJoined, "owner-joined", Severity::Info, Term},
    EventDescription{Number::OwnerFenced, "owner-fenced", Severity::Warning, Incarnation},
    EventDescription{Number::FenceCompleted, "fence-completed", Severity::Info, Fence},
    EventDescription{Number::WitnessReplaced, "witness-replaced", Severity::Info, Witness},
    EventDescription{Number::ClaimsStopped, "claims-stopped", Severity::Error, Seconds},
    EventDescription{Number::RecordsFull, "records-full", Severity::Error, Records},
    EventDescription{Number::StoredAnswerDropped, "stored-answer-dropped", Severity::Warning, Dropped},
    EventDescription{Number::ColdStartWaiting, "cold-start-waiting", Severity::Warning, Seconds},
    EventDescription{Number::RecordsReleased, "records-released", Severity::Info, Released},
    EventDescription{Number::RequestSuspected, "request-suspected", Severity::Warning, Fingerprint},
    EventDescription{Number::RequestBlocked, "request-blocked", Severity::Error, Fingerprint},
    EventDescription{Number::RequestCleared, "request-cleared", Severity::Info, Fingerprint},
    EventDescription{Number::PeerNotMember, "peer-not-member", Severity::Warning, PeerRefused},
    EventDescription{Number::PeerConnectionFailed, "peer-connection-failed", Severity::Warning, PeerConnection},
    EventDescription{Number::KeysReloaded, "keys-reloaded", Severity::Info, Keys},
    EventDescription{Number::KeyReloadFailed, "key-reload-failed", Severity::Error, KeyFailure},
    EventDescription{Number::AnswerTruncated, "answer-truncated", Severity::Warning, Truncated},
    EventDescription{Number::MessageMalformed, "message-malformed", Severity::Warning, Malformed},
    EventDescription{Number::AdministrationServed, "administration-served", Severity::Info, Served},
    EventDescription{Number::AdministrationDenied, "administration-denied", Severity::Warning, Denied},
    EventDescription{Number::AdministrationConnectionLimit, "administration-connection-limit", Severity::Warning, Connections},
    EventDescription{Number::RelayAnswered, "relay-answered", Severity::Info, RelayAnswer},
    EventDescription{Number::RelayMoved, "relay-moved", Severity::Info, RelayMove},
    EventDescription{Number::DecisionLinesDropped, "decision-lines-dropped", Severity::Info, DroppedLines},
    EventDescription{Number::InstanceListed, "instance-listed", Severity::Info, ListedInstance},
    EventDescription{Number::InstanceRemoved, "instance-removed", Severity::Info, InstanceName},
    EventDescription{Number::InstancesRead, "instances-read", Severity::Info, InstanceCount},
    EventDescription{Number::SourceLost, "source-lost", Severity::Warning, Reason},
    EventDescription{Number::SourceRestored, "source-restored", Severity::Info, {}},
    EventDescription{Number::SettingsReread, "settings-reread", Severity::Info, File},
    EventDescription{Number::PublishedValueRejected, "published-value-rejected", Severity::Warning, PublishedValue},
    EventDescription{Number::ServingLoad, "serving-load", Severity::Info, Load},
    EventDescription{Number::PeerStateRead, "peer-state-read", Severity::Info, PeerState},
};

} // namespace

std::span<const EventDescription> eventCatalogue()
{
    return Catalogue;
}

const EventDescription &describeEvent(EventNumber number)
{
    const auto found = std::lower_bound(Catalogue.begin(), Catalogue.end(), number,
                                        [](const EventDescription &event, EventNumber wanted) { return event.number < wanted; });
    return found != Catalogue.end() ? *found : Catalogue.back();
}

} // namespace wisteriafork
