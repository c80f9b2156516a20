#include "invariants/simserver.h"

#include "invariants/simfleet.h"
#include "invariants/simhost.h"
#include "invariants/timing.h"

#include <utility>

namespace wisteriafork::test {

namespace {

constexpr Duration HandOver = std::chrono::microseconds(200);
constexpr Duration ServiceTime = ms(10);
constexpr int SlowFactor = 20;

} // namespace

SimServer::SimServer(SimFleet &fleet, SimHost &host) : m_fleet(fleet), m_host(host)
{
}

void SimServer::run(const Body &body, const std::string &requestId, std::function<void(const ServerResult &)> done)
{
    if (!m_up) {
        m_fleet.after(HandOver, [done] { done(ServerFailure::ConnectionRefused); });
        return;
    }
    const bool refused = m_fleet.chance(m_fleet.schedule().refused);
    m_fleet.judge().attempted(body, m_fleet.now(), m_host.info().name.value(), refused);
    if (refused) {
        m_fleet.judge().shedByServer(body);
        m_fleet.after(HandOver, [done] { done(ServerFailure::Overloaded); });
        return;
    }
    const std::uint64_t number = m_nextRun++;
    m_runs.emplace(number, Run{.body = body, .requestId = requestId, .done = std::move(done)});
    later(HandOver, [this, number] { begin(number); });
}

void SimServer::later(Duration delay, std::function<void()> step)
{
    m_fleet.after(delay, [this, life = m_life, step = std::move(step)] {
        if (life != m_life) {
            return;
        }
        if (m_fleet.now() < m_pausedUntil) {
            later(m_pausedUntil - m_fleet.now(), step);
        } else {
            step();
        }
    });
}

void SimServer::begin(std::uint64_t number)
{
    const Body &body = m_runs.at(number).body;
    m_fleet.judge().ran(body, m_fleet.now(), m_host.info().name.value());
    const bool slow = m_fleet.now() < m_slowUntil;
    later(ServiceTime * (slow ? SlowFactor : 1), [this, number] { callBelow(number); });
}

void SimServer::callBelow(std::uint64_t number)
{
    Run &run = m_runs.at(number);
    std::optional<Body> below = m_fleet.callBelow(run.body);
    if (!below) {
        finish(number, false);
        return;
    }
    m_fleet.judge().sent(*below, m_fleet.now());
    run.attributed = !m_fleet.chance(m_fleet.schedule().unattributed);
    below->single = below->single || !run.attributed;
    m_host.arriveFromServer(*below, run.attributed ? run.requestId : "fresh-" + std::to_string(below->call),
                            [this, number, life = m_life, below = *below](const Outcome &outcome) {
                                if (outcome.answer) {
                                    m_fleet.judge().answered(below, *outcome.answer, m_fleet.now());
                                }
                                later(HandOver, [this, number, failed = !outcome.answer, life] {
                                    if (life == m_life) {
                                        finish(number, failed);
                                    }
                                });
                            });
}

void SimServer::finish(std::uint64_t number, bool belowFailed)
{
    if (!m_runs.contains(number)) {
        return;
    }
    const Body &body = m_runs.at(number).body;
    if (m_fleet.chance(m_fleet.schedule().failed)) {
        end(number, ServerFailure::ConnectionBroken);
    } else if (belowFailed && m_runs.at(number).attributed) {
        // A server that has begun a request may still answer 503. Without the request id its node would take that for not run.
        m_fleet.judge().shedByServer(body);
        end(number, ServerFailure::Overloaded);
    } else {
        end(number, Answer{.operation = body.operation, .identity = body.identity, .whole = true});
    }
}

void SimServer::end(std::uint64_t number, const ServerResult &result)
{
    const Run run = std::move(m_runs.at(number));
    m_runs.erase(number);
    run.done(result);
}

void SimServer::crash()
{
    m_up = false;
    ++m_life;
    const std::map<std::uint64_t, Run> broken = std::exchange(m_runs, {});
    for (const auto &[number, run] : broken) {
        run.done(ServerFailure::ConnectionBroken);
    }
}

void SimServer::lose()
{
    m_up = false;
    ++m_life;
    m_runs.clear();
}

void SimServer::restart()
{
    m_up = true;
    m_pausedUntil = {};
}

void SimServer::pause(Duration duration)
{
    m_pausedUntil = m_fleet.now() + duration;
}

void SimServer::slowDown(Duration duration)
{
    m_slowUntil = m_fleet.now() + duration;
}

} // namespace wisteriafork::test
