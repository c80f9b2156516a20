#include "core/base/manualclock.h"
#include "core/base/refusalname.h"
#include "observability/outcomes.h"
#include "observability/recentload.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(Outcomes)
{
    ManualClock m_clock;
    Outcomes m_outcomes{m_clock};
    OutcomeKey m_key{.service = ServiceId("registar"), .callClass = CallClass::Read, .workspace = WorkspaceId("growers")};

    // Records the given numbers of completed and refused calls in each of the seconds.
    void recordSeconds(int seconds, int completed, int refused, Duration time)
    {
        for (int second = 0; second < seconds; ++second) {
            for (int call = 0; call < completed; ++call) {
                m_outcomes.recordCompletion(m_key, time);
            }
            for (int call = 0; call < refused; ++call) {
                m_outcomes.recordRefusal(m_key, RefusalReason::Overloaded);
            }
            m_clock.advance(1s);
        }
    }

    OverloadRecord lastOverload() const
    {
        const OutcomesReport report = m_outcomes.report();
        CHECK(report.lastOverloads.contains(m_key.service));
        return report.lastOverloads.at(m_key.service);
    }
};

// Guards against outcomes that are counted twice, lost or counted under another key.
TEST(Outcomes, countEachOutcomeOncePerKey)
{
    const OutcomeKey other{.service = m_key.service, .callClass = CallClass::Critical, .workspace = WorkspaceId("inspectors")};
    m_outcomes.recordCompletion(m_key, 10ms);
    m_outcomes.recordCompletion(m_key, 30ms);
    m_outcomes.recordRefusal(m_key, RefusalReason::Overloaded);
    m_outcomes.recordFailure(other);

    const OutcomesReport report = m_outcomes.report();

    LONGS_EQUAL(2, report.rows.size());
    const OutcomeRow &row = report.rows[0];
    CHECK(row.key == m_key);
    LONGS_EQUAL(2, row.completed);
    LONGS_EQUAL(1, row.refusals.at(RefusalReason::Overloaded));
    CHECK(row.meanTime == 20ms);
    LONGS_EQUAL(1, report.rows[1].failed);
}

// Guards against a rate that counts calls older than a minute, and against one that is averaged over time before the start.
TEST(Outcomes, giveRatesOfTheLastMinute)
{
    recordSeconds(5, 10, 0, 10ms);
    DOUBLES_EQUAL(50.0 / 6, m_outcomes.report().rows[0].goodputPerSecond, 0.01);

    m_clock.advance(57s);
    DOUBLES_EQUAL(20.0 / 60, m_outcomes.report().rows[0].goodputPerSecond, 0.01);
    m_clock.advance(600s);
    DOUBLES_EQUAL(0, m_outcomes.report().rows[0].goodputPerSecond, 0.01);
}

// Guards against a recovery time that ends with the last refusal although latency is still high.
TEST(Outcomes, measureRecoveryUntilLatencyIsBack)
{
    recordSeconds(20, 100, 0, 20ms);
    recordSeconds(10, 100, 200, 80ms);
    CHECK(lastOverload().ongoing);
    recordSeconds(4, 100, 0, 60ms);
    CHECK(lastOverload().ongoing);
    recordSeconds(3, 100, 0, 20ms);

    const OverloadRecord record = lastOverload();

    CHECK_FALSE(record.ongoing);
    CHECK(record.latencyRecovered);
    LONGS_EQUAL(14, std::chrono::duration_cast<std::chrono::seconds>(record.duration).count());
    LONGS_EQUAL(4, std::chrono::duration_cast<std::chrono::seconds>(record.recoveryTime).count());
}

// Guards against an overload that never ends because the service became slower for good.
TEST(Outcomes, endAnOverloadAtANewLatency)
{
    recordSeconds(20, 100, 0, 20ms);
    recordSeconds(5, 100, 200, 80ms);
    recordSeconds(70, 100, 0, 40ms);

    CHECK_FALSE(lastOverload().ongoing);
    CHECK_FALSE(lastOverload().latencyRecovered);
}

// Guards against memory that grows without bound when a caller sends ever new workspace names.
TEST(Outcomes, boundTheNumberOfKeys)
{
    for (int workspace = 0; workspace < 6000; ++workspace) {
        m_key.workspace = WorkspaceId(std::to_string(workspace));
        m_outcomes.recordFailure(m_key);
    }
    LONGS_EQUAL(4097, m_outcomes.report().rows.size());
}

// Guards against two refusal reasons with the same name in headers and logs.
TEST(Outcomes, nameEachReason)
{
    std::set<std::string_view> names;
    for (int reason = 0; reason <= static_cast<int>(RefusalReason::NotConfigured); ++reason) {
        names.insert(refusalReasonName(static_cast<RefusalReason>(reason)));
    }
    LONGS_EQUAL(static_cast<int>(RefusalReason::NotConfigured) + 1, names.size());
    CHECK_FALSE(names.contains("other"));
}

// Guards against a dry run that uses the load of another operation or has no service times.
TEST(Outcomes, keepTheRecentLoadByOperation)
{
    RecentLoad load(m_clock);
    const OperationId read("read-shelf");
    for (int call = 0; call < 30; ++call) {
        load.recordArrival(m_key.service, read);
    }
    load.recordServiceTime(m_key.service, read, 20ms);
    m_clock.advance(9s);

    LONGS_EQUAL(1, load.operationLoads().size());
    DOUBLES_EQUAL(3.0, load.operationLoads()[0].callsPerSecond, 0.01);
    CHECK(load.operationLoads()[0].meanServiceTime == 20ms);
}
