#include "schedule.h"

#include "timing.h"

#include <ostream>

namespace wisteriafork::test {

std::ostream &operator<<(std::ostream &stream, const Schedule &schedule)
{
    stream << "nodes " << schedule.nodes << " seed " << schedule.seed << " loss " << schedule.loss << " duplicates " << schedule.duplicates
           << " late " << schedule.late << " notRun " << schedule.notRun << " unknown " << schedule.unknown << " batch "
           << schedule.claimBatchMs;
    for (const Fault &fault : schedule.faults) {
        stream << "\n  fault " << static_cast<int>(fault.kind) << " at " << fault.at << " node " << fault.node << " for " << fault.duration;
    }
    for (const Request &request : schedule.requests) {
        stream << "\n  request at " << request.at << ":";
        for (const Copy &copy : request.copies) {
            stream << " +" << copy.at << "@" << copy.node;
        }
    }
    return stream;
}

namespace {

// Any number of the whole range; `inRange` alone keeps to its lower part while the size grows.
rc::Gen<int> inRange(int low, int high)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

} // namespace

rc::Gen<Schedule> anySchedule()
{
    const auto fault = rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind, rc::gen::map(inRange(0, FaultKinds), [](int kind) { return static_cast<FaultKind>(kind); })),
        rc::gen::set(&Fault::at, inRange(0, FaultPhaseMs)), rc::gen::set(&Fault::node, inRange(0, 5)),
        rc::gen::set(&Fault::duration, inRange(20, PauseBoundMs)));
    const auto copy = rc::gen::build<Copy>(rc::gen::set(&Copy::at, inRange(0, ResendMs)), rc::gen::set(&Copy::node, inRange(0, 5)));
    const auto request = rc::gen::build<Request>(
        rc::gen::set(&Request::at, inRange(0, FaultPhaseMs)),
        rc::gen::set(&Request::copies, rc::gen::resize(6, rc::gen::nonEmpty(rc::gen::container<std::vector<Copy>>(copy)))));
    return rc::gen::build<Schedule>(
        rc::gen::set(&Schedule::nodes, inRange(2, 6)),
        rc::gen::set(&Schedule::seed, rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>())),
        rc::gen::set(&Schedule::loss, inRange(0, 100)), rc::gen::set(&Schedule::duplicates, inRange(0, 100)),
        rc::gen::set(&Schedule::late, inRange(0, 100)), rc::gen::set(&Schedule::notRun, inRange(0, 500)),
        rc::gen::set(&Schedule::unknown, inRange(0, 100)), rc::gen::set(&Schedule::claimBatchMs, inRange(0, 40)),
        rc::gen::set(&Schedule::faults, rc::gen::resize(8, rc::gen::container<std::vector<Fault>>(fault))),
        rc::gen::set(&Schedule::requests, rc::gen::resize(20, rc::gen::nonEmpty(rc::gen::container<std::vector<Request>>(request)))));
}

} // namespace wisteriafork::test
