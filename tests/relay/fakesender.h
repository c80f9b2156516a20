#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/base/manualclock.h"
#include "relay/attemptsender.h"

namespace wisteriafork {

// Simulates the instances of a fleet in virtual time. The result of each attempt is drawn at random when it is sent. Whether the instance
// executes the request is recorded separately from the outcome that the sender is given.
class FakeSender : public AttemptSender
{
public:
    FakeSender(const ManualClock &clock, std::mt19937_64 &random) : m_clock(clock), m_random(random)
    {
    }

    std::unique_ptr<PendingAttempt> send(const Instance &instance, RelayRequest request, AttemptHandler handler) override
    {
        const std::string id(request.http->headers.find("x-id"));
        Attempt attempt = drawAttempt();
        attempt.request = id;
        attempt.handler = std::move(handler);
        const std::uint64_t number = ++m_lastNumber;
        sends[id].push_back(instance.id);
        m_open.emplace(number, std::move(attempt));
        return std::make_unique<FakePendingAttempt>(*this, number);
    }

    // Executes the requests that are due and delivers the outcomes that are due.
    void poll()
    {
        std::vector<std::uint64_t> due;
        for (auto &[number, attempt] : m_open) {
            if (attempt.willRun && !attempt.hasRun && m_clock.now() >= attempt.runTime) {
                attempt.hasRun = true;
                ++runs[attempt.request];
            }
            if (m_clock.now() >= attempt.endTime) {
                due.push_back(number);
            }
        }
        for (const std::uint64_t number : due) {
            const auto found = m_open.find(number);
            if (found != m_open.end()) {
                Attempt attempt = std::move(found->second);
                m_open.erase(found);
                if (attempt.handler) {
                    attempt.handler(std::move(attempt.outcome));
                }
            }
        }
    }

    bool isIdle() const
    {
        return m_open.empty();
    }

    // By request id: the instances to which the request was sent, and the number of times it was executed.
    std::map<std::string, std::vector<std::string>> sends;
    std::map<std::string, unsigned> runs;

private:
    struct Attempt
    {
        std::string request;
        bool willRun = false;
        bool hasRun = false;
        TimePoint runTime;
        TimePoint endTime;
        AttemptOutcome outcome;
        AttemptHandler handler;
    };

    class FakePendingAttempt : public PendingAttempt
    {
    public:
        FakePendingAttempt(FakeSender &sender, std::uint64_t number) : m_sender(sender), m_number(number)
        {
        }

        void cancel() override
        {
            m_sender.cancel(m_number);
        }

    private:
        FakeSender &m_sender;
        const std::uint64_t m_number;
    };

    // Drops the handler only: an instance may execute a request after its sender has cancelled it.
    void cancel(std::uint64_t number)
    {
        const auto found = m_open.find(number);
        if (found != m_open.end()) {
            found->second.handler = nullptr;
        }
    }

    std::chrono::milliseconds drawDuration(int maxMilliseconds)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, maxMilliseconds)(m_random));
    }

    Attempt drawAttempt()
    {
        Attempt attempt;
        attempt.runTime = m_clock.now() + drawDuration(300);
        attempt.endTime = attempt.runTime + drawDuration(700);
        attempt.outcome.report = ServingReport{.concurrencyLimit = 5, .pressure = drawDuration(100).count() < 10 ? 0.5 : 0.0};
        switch (std::uniform_int_distribution<int>(0, 9)(m_random)) {
        case 0:
            attempt.willRun = true;
            attempt.outcome.result = OutcomeUnknown{.nodeConnectionLost = true};
            attempt.outcome.report.reset();
            break;
        case 1:
            attempt.outcome.result = OutcomeUnknown{};
            break;
        case 2:
            attempt.willRun = true;
            attempt.outcome.result = ServerResponse{.response = {.status = 500}};
            break;
        case 3:
            attempt.willRun = true;
            attempt.endTime = m_clock.now() + std::chrono::hours(1);
            break;
        case 4:
        case 5: {
            const auto reason = static_cast<NotExecutedReason>(std::uniform_int_distribution<unsigned>(0, 6)(m_random));
            attempt.outcome.result = NotExecuted{.reason = reason};
            break;
        }
        default:
            attempt.willRun = true;
            attempt.outcome.result = ServerResponse{.response = {.status = 200}};
        }
        return attempt;
    }

    const ManualClock &m_clock;
    std::mt19937_64 &m_random;
    std::map<std::uint64_t, Attempt> m_open;
    std::uint64_t m_lastNumber = 0;
};

} // namespace wisteriafork
