#include <algorithm>
#include <map>
#include <sstream>
#include <vector>

#include "fakesender.h"
#include "relay/callerhandler.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

// Seed of the first schedule; schedules differ only in their seed, which is this one plus their number.
constexpr std::uint64_t FirstSeed = 20261204;
constexpr unsigned Schedules = 20'000;
constexpr unsigned CallsPerSchedule = 12;
constexpr std::chrono::milliseconds Step{20};
constexpr Duration RouteTimeout = 1500ms;

// What the caller of one request observes.
struct CallerView
{
    unsigned responses = 0;
    unsigned status = 0;
    TimePoint arrivalTime;
    TimePoint responseTime;
    bool disconnected = false;
    bool idempotent = false;
};

class FakeExchange : public ServerExchange
{
public:
    FakeExchange(const Clock &clock, CallerView &view) : m_clock(clock), m_view(view)
    {
    }

    void respond(HttpResponse response) override
    {
        ++m_view.responses;
        m_view.status = response.status;
        m_view.responseTime = m_clock.now();
    }

private:
    const Clock &m_clock;
    CallerView &m_view;
};

Route route(const char *name, RequestKind kind, unsigned attempts)
{
    return {.name = name,
            .host = "h",
            .prefix = std::string("/") + name + "/",
            .kind = kind,
            .services = {{.service = ServiceId("s")}},
            .timeout = RouteTimeout,
            .targetLatency = 500ms,
            .maxAttempts = attempts};
}

// Simulation of one relay with instances that fail at random and callers that disconnect at random.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_random(seed), m_log({.minimumSeverity = LogSeverity::Error}, m_output), m_sender(m_clock, m_random)
    {
        m_maxAttempts = draw(1, 3);
        m_parts.routes = std::make_shared<const RouteTable>(
            1,
            std::vector{route("book", RequestKind::NonIdempotent, m_maxAttempts), route("read", RequestKind::Idempotent, m_maxAttempts)});
        m_parts.ownPeerAddress = "own";
        for (unsigned number = 0; number < draw(1, 6); ++number) {
            const std::string id = "i" + std::to_string(number);
            m_parts.directory.insertOrReplace({.id = id,
                                               .service = ServiceId("s"),
                                               .address = id + ":1",
                                               .peerAddress = id + ":2",
                                               .domain = DomainId(number % 2 == 0 ? "north" : "south"),
                                               .slots = 5});
        }
    }

    void run()
    {
        for (unsigned call = 0; call < CallsPerSchedule; ++call) {
            startRequest(call, draw(0, 1) == 0);
            for (unsigned steps = draw(0, 20); steps > 0; --steps) {
                advanceOneStep();
            }
        }
        for (unsigned steps = 0; steps < 120; ++steps) {
            advanceOneStep();
        }
        // Lets attempts that were cancelled execute as well.
        m_clock.advance(2h);
        m_sender.poll();
    }

    // Sends requests that were in flight at two crashes. Returns the status of each response, 0 if there was none.
    std::vector<unsigned> statusesOfBannedRequests()
    {
        std::vector<unsigned> statuses;
        for (unsigned number = 0; number < CallsPerSchedule; ++number) {
            HttpRequest request{.method = "POST", .target = targetOf(number)};
            request.headers.add("host", "h");
            const RelayRequest described{.http = std::make_shared<HttpRequest>(request)};
            m_parts.crashGuard.onReportsReceived(
                {.suspects = {{.fingerprint = described.fingerprint(), .state = SuspectState::Banned, .crashes = {1, 2}}}});
            startRequest(number, false);
            statuses.push_back(m_views.at("r" + std::to_string(number)).status);
        }
        return statuses;
    }

    bool hasSent() const
    {
        return !m_sender.sends.empty();
    }

    std::string firstViolation()
    {
        for (const auto &[id, view] : m_views) {
            const std::string violation = findViolation(id, view);
            if (!violation.empty()) {
                return std::string(id).append(": ").append(violation);
            }
        }
        const double allowed
            = RetryBudgetOptions{}.fleetRatio * RetryBudgetOptions{}.earnedShare * CallsPerSchedule + RetryBudgetOptions{}.burstRetries;
        return static_cast<double>(m_extraExecutions) > allowed
            ? "more repeats than the budget allows: " + std::to_string(m_extraExecutions)
            : "";
    }

private:
    unsigned draw(unsigned least, unsigned most)
    {
        return std::uniform_int_distribution<unsigned>(least, most)(m_random);
    }

    static std::string targetOf(unsigned number)
    {
        return "/book/" + std::to_string(number);
    }

    void startRequest(unsigned number, bool idempotent)
    {
        const std::string id = "r" + std::to_string(number);
        CallerView &view = m_views[id];
        view.arrivalTime = m_clock.now();
        view.idempotent = idempotent;
        auto exchange = std::make_shared<FakeExchange>(m_clock, view);
        exchange->request = std::make_shared<HttpRequest>();
        exchange->request->method = "POST";
        exchange->request->target = idempotent ? "/read/1" : targetOf(number);
        exchange->request->headers.add("host", "h");
        exchange->request->headers.add("x-id", id);
        m_callers.handleRequest(exchange);
        m_exchanges.emplace(id, exchange);
    }

    void advanceOneStep()
    {
        m_clock.advance(Step);
        m_sender.poll();
        m_callers.pollCalls();
        if (draw(0, 200) == 0) {
            const auto chosen = std::next(m_exchanges.begin(), draw(0, static_cast<unsigned>(m_exchanges.size()) - 1));
            CallerView &view = m_views.at(chosen->first);
            view.disconnected = view.disconnected || view.responses == 0;
            m_callers.handleCancellation(*chosen->second);
        }
    }

    std::string findViolation(const std::string &id, const CallerView &view)
    {
        const unsigned runs = m_sender.runs.contains(id) ? m_sender.runs.at(id) : 0;
        const std::vector<std::string> sends = m_sender.sends.contains(id) ? m_sender.sends.at(id) : std::vector<std::string>();
        if (view.responses > 1 || (view.responses == 0 && !view.disconnected)) {
            return "answered " + std::to_string(view.responses) + " times";
        }
        if (!view.idempotent && runs > 1) {
            return "a non-idempotent request ran " + std::to_string(runs) + " times";
        }
        if (view.status == 503 && runs > 0) {
            return "refused, but it ran";
        }
        if (view.status == 200 && runs == 0) {
            return "answered without a run";
        }
        if (view.responses == 1 && view.responseTime > view.arrivalTime + RouteTimeout + Step) {
            return "answered after the time-out of its route";
        }
        m_extraExecutions += runs > 1 ? runs - 1 : 0;
        return {};
    }

    std::mt19937_64 m_random;
    ManualClock m_clock;
    std::ostringstream m_output;
    EventLog m_log;
    asio::io_context m_context;
    RelayParts m_parts{m_context, RelaySettings{.node = "n", .domain = DomainId("north"), .headers = {.requestId = "x-id"}}, m_clock,
                       m_log};
    FakeSender m_sender;
    CallerHandler m_callers{m_parts, m_sender};
    std::map<std::string, CallerView> m_views;
    std::map<std::string, std::shared_ptr<FakeExchange>> m_exchanges;
    unsigned m_maxAttempts = 1;
    unsigned m_extraExecutions = 0;
};

} // namespace

TEST_GROUP(RelayCall){};

// Guards against a booking that is executed twice, a refusal of a request that was executed, a request without a response, and an unbounded
// number of retries.
TEST(RelayCall, KeepsItsInvariantsUnderRandomFailures)
{
    for (unsigned number = 0; number < Schedules; ++number) {
        Schedule schedule(FirstSeed + number);
        schedule.run();
        const std::string violation = schedule.firstViolation();
        CHECK_TEXT(violation.empty(), ("schedule " + std::to_string(number) + ", " + violation).c_str());
    }
}

// Guards against a request that is known to crash backend servers and is still sent to further ones.
TEST(RelayCall, RefusesRequestsThatWereInFlightAtTwoCrashes)
{
    Schedule schedule(FirstSeed);

    const std::vector<unsigned> statuses = schedule.statusesOfBannedRequests();

    LONGS_EQUAL(CallsPerSchedule, std::ranges::count(statuses, 503U));
    CHECK_FALSE(schedule.hasSent());
}
