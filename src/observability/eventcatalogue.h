#pragma once

#include "observability/eventnumber.h"
#include "observability/logseverity.h"

#include <span>
#include <string_view>

namespace wisteriafork {

// What is fixed about one log event.
struct EventDescription
{
    EventNumber number;
    // Stable name for searches, lower case with hyphens.
    std::string_view name;
    LogSeverity severity;
    // Names of the fields in the order in which values are passed.
    std::span<const std::string_view> fields;
};

// All events, ordered by number.
std::span<const EventDescription> eventCatalogue();

// Description of an event; the table holds each number of `EventNumber`.
const EventDescription &describeEvent(EventNumber number);

} // namespace wisteriafork
