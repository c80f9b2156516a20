#pragma once

#include "core/base/clock.h"
#include "core/overload/concurrencylimitoptions.h"
#include "core/overload/levelcontrolleroptions.h"
#include "core/overload/queueorder.h"
#include "core/overload/readclosureoptions.h"

#include <cstddef>

namespace wisteriafork {

// Settings of an admission controller. The switches exist so that tests can show that each check fails without its mechanism.
struct AdmissionOptions
{
    ConcurrencyLimitOptions limit;
    LevelControllerOptions level;
    ReadClosureOptions closure;
    QueueOrder order = QueueOrder::Fifo;
    // Most calls that wait, of all classes together. Bounds memory; the level keeps the queue far below it.
    std::size_t queueLimit = 2000;
    // Share of the limit that calls which depend on one downstream service may hold while other operations are in use.
    double isolationShare = 0.8;
    // A call is expected to take this many times the mean: work on calls that then miss their deadline is wasted. With 1.0, up to 0.050 of
    // the work was wasted in the slow runs of the chain of 4, with 1.5 up to 0.028.
    double lateMargin = 1.5;

    bool priorityEnabled = true;
    bool fairnessEnabled = true;
    bool deadlineCheckEnabled = true;
    bool levelEnabled = true;
    bool isolationEnabled = true;
    // If off, an internal call that is expected to be late is refused like a caller's.
    bool internalWaitEnabled = true;
};

} // namespace wisteriafork
