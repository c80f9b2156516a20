#include "core/base/manualclock.h"
#include "core/routing/router.h"

#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId Service("registar");

LoadReport makeReport(unsigned running, unsigned queued)
{
    LoadReport report;
    report.limit = 10;
    report.running = running;
    report.queued = queued;
    report.serviceTime = milliseconds(50);
    return report;
}

} // namespace

TEST_GROUP(Router)
{
    ManualClock clock;
    RandomEngine random{11};
    std::vector<MemberInfo> members;

    // Two instances in the own failure domain and two in another one: a1, a2, b1, b2.
    void setup() override
    {
        for (const char *const name : {"a1", "a2", "b1", "b2"}) {
            MemberInfo member;
            member.name = NodeId(name);
            member.service = Service;
            member.domain = DomainId(std::string(1, name[0]));
            members.push_back(member);
        }
    }

    std::vector<RouteCandidate> candidates() const
    {
        std::vector<RouteCandidate> result;
        for (const MemberInfo &member : members) {
            result.push_back({.member = member});
        }
        return result;
    }

    std::map<std::string, int> chooseMany(Router & router, std::vector<NodeId> excluded = {}, const DomainId *avoid = nullptr)
    {
        std::map<std::string, int> counts;
        for (int call = 0; call < 400; ++call) {
            const std::optional<RouteChoice> choice = router.choose(Service, excluded, avoid);
            ++counts[choice ? choice->node.value() : "none"];
        }
        return counts;
    }
};

// Guards against new work for an instance that is leaving or suspected.
TEST(Router, givesNothingToLeavingOrSuspectedInstances)
{
    Router router({}, DomainId("a"), clock, random);
    std::vector<RouteCandidate> some = candidates();
    some[0].leaving = true;
    some[1].suspected = true;
    router.update(Service, some);

    const std::map<std::string, int> counts = chooseMany(router);

    CHECK_FALSE(counts.contains("a1") || counts.contains("a2"));
}

// Guards against traffic over slow links while the own failure domain has room. Switched off, all instances are used alike.
TEST(Router, staysInTheOwnFailureDomainUntilItIsFull)
{
    for (const bool enabled : {true, false}) {
        Router router({.sameDomainFirst = enabled}, DomainId("a"), clock, random);
        router.update(Service, candidates());
        std::map<std::string, int> counts = chooseMany(router);
        CHECK_EQUAL(!enabled, counts["b1"] + counts["b2"] > 0);
    }
}

// Guards against calls that queue at home while another failure domain is idle.
TEST(Router, spillsOverWhenTheWaitCostsMoreThanTheLink)
{
    Router router({}, DomainId("a"), clock, random);
    router.update(Service, candidates());
    router.learn(Service, NodeId("a1"), makeReport(10, 20));
    router.learn(Service, NodeId("a2"), makeReport(10, 20));

    CHECK(router.choose(Service)->reason == RouteReason::SpilledOver);

    // Old knowledge loses its weight.
    clock.advance(seconds(5));
    CHECK(router.choose(Service)->reason == RouteReason::LessLoadedOfTwo);
}

// Guards against an instance that gets the share of its number instead of its load. Switched off, the loaded one gets half.
TEST(Router, prefersTheLessLoadedOfTwo)
{
    for (const bool enabled : {true, false}) {
        Router router({.powerOfTwo = enabled}, DomainId("a"), clock, random);
        router.update(Service, candidates());
        router.learn(Service, NodeId("a1"), makeReport(7, 0));
        router.learn(Service, NodeId("a2"), makeReport(1, 0));
        std::map<std::string, int> counts = chooseMany(router);
        CHECK_EQUAL(enabled, counts["a1"] == 0);
    }
}

// Guards against a retry on the instance or in the failure domain that has just failed.
TEST(Router, sendsARetryToAnotherFailureDomain)
{
    Router router({}, DomainId("a"), clock, random);
    router.update(Service, candidates());
    const DomainId failed("a");

    std::map<std::string, int> counts = chooseMany(router, {NodeId("a1")}, &failed);
    LONGS_EQUAL(400, counts["b1"] + counts["b2"]);

    counts = chooseMany(router, {NodeId("a1"), NodeId("b1"), NodeId("b2")}, &failed);
    LONGS_EQUAL(400, counts["a2"]);

    counts = chooseMany(router, {NodeId("a1"), NodeId("a2"), NodeId("b1"), NodeId("b2")}, &failed);
    LONGS_EQUAL(400, counts["none"]);
}

// Guards against an instance that fails at once and therefore looks idle.
TEST(Router, avoidsAnInstanceThatFailedUntilItReportsAgain)
{
    Router router({}, DomainId("a"), clock, random);
    router.update(Service, candidates());
    router.sent(Service, NodeId("a1"));
    router.failed(Service, NodeId("a1"));
    CHECK_FALSE(chooseMany(router).contains("a1"));

    router.learn(Service, NodeId("a1"), makeReport(0, 0));
    CHECK(chooseMany(router).contains("a1"));
}
