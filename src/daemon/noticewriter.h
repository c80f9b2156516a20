#pragma once

#include "core/node/notice.h"
#include "observability/eventlog.h"

namespace wisteriafork {

// Writes a notice of the core as its numbered event.
void writeNotice(EventLog &log, const Notice &notice);

} // namespace wisteriafork
