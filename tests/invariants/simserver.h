#pragma once

#include "core/node/serverfailure.h"
#include "invariants/outcome.h"

#include <functional>
#include <map>
#include <variant>

namespace wisteriafork::test {

class SimFleet;
class SimHost;

using ServerResult = std::variant<Answer, ServerFailure>;

// Fake backend server of one host. It tells the judge of each run, and calls the service below through the node of its host.
class SimServer
{
public:
    SimServer(SimFleet &fleet, SimHost &host);

    // The result is given once, and not at all if the server is cancelled by a crash of its host.
    void run(const Body &body, const std::string &requestId, std::function<void(const ServerResult &)> done);
    void crash();
    // The host is lost: nothing is answered any more.
    void lose();
    void restart();
    void pause(Duration duration);
    void slowDown(Duration duration);

private:
    struct Run
    {
        Body body;
        std::string requestId;
        std::function<void(const ServerResult &)> done;
        // The call below carried the id of the request, so the node knows that the run has begun.
        bool attributed = false;
    };

    void later(Duration delay, std::function<void()> step);
    void begin(std::uint64_t number);
    void callBelow(std::uint64_t number);
    void finish(std::uint64_t number, bool belowFailed);
    void end(std::uint64_t number, const ServerResult &result);

    SimFleet &m_fleet;
    SimHost &m_host;
    bool m_up = true;
    // Steps of an earlier life are void.
    int m_life = 0;
    TimePoint m_pausedUntil;
    TimePoint m_slowUntil;
    std::uint64_t m_nextRun = 1;
    std::map<std::uint64_t, Run> m_runs;
};

} // namespace wisteriafork::test
