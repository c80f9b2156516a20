#include "core/base/manualclock.h"
#include "core/overload/admissioncontroller.h"
#include "core/overload/edgegate.h"
#include "core/routing/router.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

// Makes a number of decisions with a number of instances of the service, for instruction counts under callgrind. The costs of setting up
// cancel out when two runs with different numbers of decisions are subtracted; scripts/bench-overload does that.

using namespace wisteriafork;
using std::chrono::milliseconds;

namespace {

const ServiceId Service("registar");

std::vector<MemberInfo> makeMembers(std::size_t count)
{
    std::vector<MemberInfo> members;
    members.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        MemberInfo member;
        member.name = NodeId("registar-" + std::to_string(index));
        member.service = Service;
        member.domain = DomainId("domain-" + std::to_string(index % 4));
        members.push_back(member);
    }
    return members;
}

LoadReport makeReport(std::size_t number)
{
    LoadReport report;
    report.limit = 50;
    report.running = static_cast<std::uint32_t>(number % 50);
    report.serviceTime = milliseconds(30);
    return report;
}

void routeCalls(std::size_t instances, std::size_t decisions)
{
    ManualClock clock;
    RandomEngine random(1);
    Router router({}, DomainId("domain-0"), clock, random);
    const std::vector<MemberInfo> members = makeMembers(instances);
    std::vector<RouteCandidate> candidates;
    candidates.reserve(members.size());
    for (const MemberInfo &member : members) {
        candidates.push_back({.member = member});
    }
    router.update(Service, candidates);
    for (std::size_t number = 0; number < decisions; ++number) {
        const std::optional<RouteChoice> choice = router.choose(Service);
        router.sent(Service, choice->node);
        clock.advance(std::chrono::microseconds(100));
        router.answered(Service, choice->node, makeReport(number), milliseconds(31));
    }
}

void admitCalls(std::size_t instances, std::size_t decisions)
{
    ManualClock clock;
    AdmissionController admission({}, clock);
    EdgeGate gate({}, clock);
    ServiceConfiguration service;
    service.id = Service;
    service.slots = 50;
    OperationConfiguration record;
    record.id = OperationId("record");
    service.operations.push_back(record);
    admission.configure(service, {});
    CallDescription call;
    call.service = Service;
    call.operation = record.id;
    for (std::size_t number = 0; number < decisions; ++number) {
        call.id = number + 1;
        call.callerHash = number % instances;
        call.requestHash = number * 0x9e3779b97f4a7c15ULL;
        call.deadline = clock.now() + std::chrono::seconds(10);
        const bool refused = gate.check(call).has_value();
        if (!refused && admission.offer(call).verdict == AdmissionVerdict::Run) {
            clock.advance(milliseconds(1));
            admission.finish(call.id, CallOutcome::Completed);
            admission.poll();
        }
        gate.learn(call, {}, makeReport(number), milliseconds(31), true);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::fputs("usage: routing_bench routing|admission INSTANCES DECISIONS\n", stderr);
        return 2;
    }
    const std::size_t instances = std::strtoul(argv[2], nullptr, 10);
    const std::size_t decisions = std::strtoul(argv[3], nullptr, 10);
    if (std::string(argv[1]) == "routing") {
        routeCalls(instances, decisions);
    } else {
        admitCalls(instances, decisions);
    }
    return 0;
}
