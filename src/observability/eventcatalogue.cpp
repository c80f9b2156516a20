#include "observability/eventcatalogue.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace wisteriafork {

namespace {

using Number = EventNumber;
using Severity = LogSeverity;

template <std::size_t count>
using FieldNames = std::array<std::string_view, count>;

constexpr FieldNames<6> NodeStartedFields{"node", "incarnation", "service", "domain", "peerAddress", "version"};
constexpr FieldNames<1> ReasonFields{"reason"};
constexpr FieldNames<2> DrainFinishedFields{"openRequests", "seconds"};
constexpr FieldNames<3> ListenerFailedFields{"listener", "address", "error"};
constexpr FieldNames<1> HandlerFailedFields{"error"};
constexpr FieldNames<3> WaitingRequestsRefusedFields{"unsent", "sent", "queuedHere"};
constexpr FieldNames<2> ConfigurationFields{"version", "source"};
constexpr FieldNames<2> OlderConfigurationFields{"version", "inForce"};
constexpr FieldNames<3> FingerprintFields{"fingerprint", "service", "crashes"};
constexpr FieldNames<3> SuspectsExchangedFields{"address", "received", "sent"};
constexpr FieldNames<2> KeysReloadedFields{"listener", "subject"};
constexpr FieldNames<2> KeyReloadFailedFields{"listener", "error"};
constexpr FieldNames<2> MessageMalformedFields{"source", "error"};
constexpr FieldNames<4> AdministrationServedFields{"token", "method", "path", "status"};
constexpr FieldNames<4> AdministrationDeniedFields{"address", "method", "path", "reason"};
constexpr FieldNames<2> ConnectionLimitFields{"address", "limit"};

constexpr FieldNames<10> RelayAnsweredFields{"request", "route",    "instance", "outcome", "status",
                                             "seconds", "attempts", "pressure", "version", "origin"};
constexpr FieldNames<5> RelayMovedFields{"request", "route", "instance", "reason", "listed"};
constexpr FieldNames<1> DroppedLinesFields{"lines"};
constexpr FieldNames<4> InstanceListedFields{"instance", "service", "address", "state"};
constexpr FieldNames<1> InstanceRemovedFields{"instance"};
constexpr FieldNames<1> InstancesReadFields{"instances"};
constexpr FieldNames<1> SettingsRereadFields{"file"};
constexpr FieldNames<2> PublishedValueRejectedFields{"key", "error"};
constexpr FieldNames<2> PeerStateReadFields{"address", "items"};
constexpr FieldNames<1> SourceReadingFields{"state"};
constexpr FieldNames<2> SourceReaderChangedFields{"address", "state"};
constexpr FieldNames<4> ServerCallOverdueFields{"request", "route", "instance", "milliseconds"};
constexpr FieldNames<4> SentRequestRefusedFields{"request", "route", "status", "attempts"};
constexpr FieldNames<2> SourceRestoredFromCopyFields{"era", "revision"};
constexpr FieldNames<2> RequestsWithdrawnFields{"address", "requests"};
constexpr FieldNames<1> QuotaLenderSilentFields{"address"};
constexpr FieldNames<6> ServingLoadFields{"limit", "running", "queued", "waitMs", "pressure", "openCalls"};

constexpr std::array Catalogue{
    EventDescription{Number::NodeStarted, "node-started", Severity::Info, NodeStartedFields},
    EventDescription{Number::NodeStopped, "node-stopped", Severity::Info, ReasonFields},
    EventDescription{Number::DrainStarted, "drain-started", Severity::Info, ReasonFields},
    EventDescription{Number::DrainFinished, "drain-finished", Severity::Info, DrainFinishedFields},
    EventDescription{Number::DrainCancelled, "drain-cancelled", Severity::Info, ReasonFields},
    EventDescription{Number::ListenerFailed, "listener-failed", Severity::Error, ListenerFailedFields},
    EventDescription{Number::HandlerFailed, "handler-failed", Severity::Error, HandlerFailedFields},
    EventDescription{Number::WaitingRequestsRefused, "waiting-requests-refused", Severity::Info, WaitingRequestsRefusedFields},
    EventDescription{Number::ConfigurationInForce, "configuration-in-force", Severity::Info, ConfigurationFields},
    EventDescription{Number::OlderConfigurationIgnored, "older-configuration-ignored", Severity::Warning, OlderConfigurationFields},
    EventDescription{Number::RequestSuspected, "request-suspected", Severity::Warning, FingerprintFields},
    EventDescription{Number::RequestBlocked, "request-blocked", Severity::Error, FingerprintFields},
    EventDescription{Number::RequestCleared, "request-cleared", Severity::Info, FingerprintFields},
    EventDescription{Number::SuspectsExchanged, "suspects-exchanged", Severity::Info, SuspectsExchangedFields},
    EventDescription{Number::KeysReloaded, "keys-reloaded", Severity::Info, KeysReloadedFields},
    EventDescription{Number::KeyReloadFailed, "key-reload-failed", Severity::Error, KeyReloadFailedFields},
    EventDescription{Number::MessageMalformed, "message-malformed", Severity::Warning, MessageMalformedFields},
    EventDescription{Number::AdministrationServed, "administration-served", Severity::Info, AdministrationServedFields},
    EventDescription{Number::AdministrationDenied, "administration-denied", Severity::Warning, AdministrationDeniedFields},
    EventDescription{Number::AdministrationConnectionLimit, "administration-connection-limit", Severity::Warning, ConnectionLimitFields},
    EventDescription{Number::RelayAnswered, "relay-answered", Severity::Info, RelayAnsweredFields},
    EventDescription{Number::RelayMoved, "relay-moved", Severity::Info, RelayMovedFields},
    EventDescription{Number::DecisionLinesDropped, "decision-lines-dropped", Severity::Info, DroppedLinesFields},
    EventDescription{Number::InstanceListed, "instance-listed", Severity::Info, InstanceListedFields},
    EventDescription{Number::InstanceRemoved, "instance-removed", Severity::Info, InstanceRemovedFields},
    EventDescription{Number::InstancesRead, "instances-read", Severity::Info, InstancesReadFields},
    EventDescription{Number::SourceLost, "source-lost", Severity::Warning, ReasonFields},
    EventDescription{Number::SourceRestored, "source-restored", Severity::Info, {}},
    EventDescription{Number::SettingsReread, "settings-reread", Severity::Info, SettingsRereadFields},
    EventDescription{Number::PublishedValueRejected, "published-value-rejected", Severity::Warning, PublishedValueRejectedFields},
    EventDescription{Number::ServingLoad, "serving-load", Severity::Info, ServingLoadFields},
    EventDescription{Number::PeerStateRead, "peer-state-read", Severity::Info, PeerStateReadFields},
    EventDescription{Number::SourceReading, "source-reading", Severity::Info, SourceReadingFields},
    EventDescription{Number::SourceReaderChanged, "source-reader-changed", Severity::Info, SourceReaderChangedFields},
    EventDescription{Number::ServerCallOverdue, "server-call-overdue", Severity::Warning, ServerCallOverdueFields},
    EventDescription{Number::SentRequestRefused, "sent-request-refused", Severity::Info, SentRequestRefusedFields},
    EventDescription{Number::SourceRestoredFromCopy, "source-restored-from-copy", Severity::Warning, SourceRestoredFromCopyFields},
    EventDescription{Number::RequestsWithdrawn, "requests-withdrawn", Severity::Info, RequestsWithdrawnFields},
    EventDescription{Number::QuotaLenderSilent, "quota-lender-silent", Severity::Info, QuotaLenderSilentFields},
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
