#include "invariants/schedule.h"

#include "invariants/timing.h"

#include <ostream>

namespace wisteriafork::test {

std::ostream &operator<<(std::ostream &stream, const Schedule &schedule)
{
    stream << "seed " << schedule.seed << " books " << schedule.books << " others " << schedule.others << " loss " << schedule.loss
           << " duplicates " << schedule.duplicates << " late " << schedule.late << " broken " << schedule.broken << " refused "
           << schedule.refused << " failed " << schedule.failed << " unattributed " << schedule.unattributed;
    for (const Fault &fault : schedule.faults) {
        stream << "\n  fault " << static_cast<int>(fault.kind) << " at " << fault.at << " node " << fault.node << " for " << fault.duration;
    }
    for (const Request &request : schedule.requests) {
        stream << "\n  request " << request.operation << " at " << request.at << " node " << request.node << " then " << request.resendNode
               << " copy after " << request.copyAfter;
    }
    return stream;
}

namespace {

constexpr int MostNodes = 8;
constexpr int Operations = 6;

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
        rc::gen::set(&Fault::at, inRange(0, FaultPhaseMs)), rc::gen::set(&Fault::node, inRange(0, MostNodes)),
        rc::gen::set(&Fault::duration, inRange(20, LongestPauseMs)));
    const auto request = rc::gen::build<Request>(
        rc::gen::set(&Request::at, inRange(0, FaultPhaseMs)), rc::gen::set(&Request::node, inRange(0, MostNodes)),
        rc::gen::set(&Request::resendNode, inRange(0, MostNodes)), rc::gen::set(&Request::operation, inRange(0, Operations)),
        rc::gen::set(&Request::copyAfter, inRange(-100, ResendMs)));
    return rc::gen::build<Schedule>(
        rc::gen::set(&Schedule::seed, rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()))),
        rc::gen::set(&Schedule::books, inRange(2, 5)), rc::gen::set(&Schedule::others, inRange(1, 3)),
        rc::gen::set(&Schedule::loss, inRange(0, 100)), rc::gen::set(&Schedule::duplicates, inRange(0, 100)),
        rc::gen::set(&Schedule::late, inRange(0, 100)), rc::gen::set(&Schedule::broken, inRange(0, 100)),
        rc::gen::set(&Schedule::refused, inRange(0, 300)), rc::gen::set(&Schedule::failed, inRange(0, 300)),
        rc::gen::set(&Schedule::unattributed, inRange(0, 100)),
        rc::gen::set(&Schedule::faults, rc::gen::resize(6, rc::gen::container<std::vector<Fault>>(fault))),
        rc::gen::set(&Schedule::requests, rc::gen::resize(20, rc::gen::nonEmpty(rc::gen::container<std::vector<Request>>(request)))));
}

} // namespace wisteriafork::test
