#include "lab/model/modelmetrics.h"

namespace wisteriafork::lab {

ModelInterval sum(const ModelMetrics &metrics, Duration from, Duration to)
{
    ModelInterval total;
    const auto end = static_cast<std::size_t>(to / metrics.interval);
    for (auto index = static_cast<std::size_t>(from / metrics.interval); index < end && index < metrics.intervals.size(); ++index) {
        const ModelInterval &part = metrics.intervals[index];
        total.begun += part.begun;
        total.sends += part.sends;
        total.complete += part.complete;
        total.latency += part.latency;
        total.refusedAtEdge += part.refusedAtEdge;
        total.runs += part.runs;
        total.firstRuns += part.firstRuns;
        total.internalCalls += part.internalCalls;
        total.internalShed += part.internalShed;
        total.criticalsRefused += part.criticalsRefused;
        total.criticalsRefusedBesideReads += part.criticalsRefusedBesideReads;
        total.work += part.work;
        total.wasted += part.wasted;
        total.queued = part.queued;
    }
    return total;
}

} // namespace wisteriafork::lab
