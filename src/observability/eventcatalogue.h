#pragma once

#include "observability/eventnumber.h"
#include "observability/logseverity.h"

#include <span>
#include <string_view>

namespace wisteriafork {

// The fixed properties of one log event.
struct EventDescription
{
    EventNumber number;
    // Stable name for searches in the log, in lower case with hyphens.
    std::string_view name;
    LogSeverity severity;
    // Names of the fields, in the order in which `EventLog::write` takes their values.
    std::span<const std::string_view> fields;
};

// Descriptions of all events, ordered by number.
std::span<const EventDescription> eventCatalogue();

// Description of one event. The catalogue holds each number of `EventNumber`.
const EventDescription &describeEvent(EventNumber number);

} // namespace wisteriafork
