#pragma once

#include "core/base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wisteriafork::test {

// One call as its caller made it; a resend is another call of the same identity. The shells pass it on unchanged as the body.
struct Body
{
    // Sending of a caller that the call belongs to, and the call itself: that of the caller, or one that a backend server made for it.
    std::size_t send = 0;
    std::uint64_t call = 0;
    std::string service;
    std::string operation;
    std::string identity;
    bool booking = false;
    // A backend server made this call, or one above it, without naming its request: it may be tried only once.
    bool single = false;
};

// What a backend server sent, as it arrives at the other end.
struct Answer
{
    std::string operation;
    std::string identity;
    bool whole = false;
};

// Independent record in true time of what the callers sent and got and what the backend servers ran. Finds violations of the invariants
// without looking at the state of the nodes.
class Judge
{
public:
    // A caller, or a backend server on behalf of a request, sent a call.
    void sent(const Body &body, TimePoint at);
    // A call reached a backend server, which accepts it or refuses it at once.
    void attempted(const Body &body, TimePoint at, const std::string &where, bool refused);
    // A backend server began to run a call.
    void ran(const Body &body, TimePoint at, const std::string &where);
    void refusedNotRun(const Body &body, TimePoint at, const std::string &where);
    void answered(const Body &body, const Answer &answer, TimePoint at);
    // A backend server answered 503 to a call, whatever the nodes do.
    void shedByServer(const Body &body);
    bool wasShedByServer(const Body &body) const;
    // Any other violation, found where it occurred.
    void violated(int invariant, TimePoint at, const std::string &what);

    // Checks the record as a whole. Violations found, as lines of text; empty if there is none. `mostAttempts` is the bound for one
    // sending on each service of its chain; the chain as a whole has one retry less.
    std::string verdict(std::uint32_t mostAttempts) const;
    // Calls that got an answer, and runs; for the figures of a test run.
    std::size_t answers() const
    {
        return m_answers;
    }

private:
    struct Event
    {
        TimePoint at;
        std::string where;
        std::uint64_t call = 0;
    };
    struct Story
    {
        bool booking = false;
        bool shedByServer = false;
        std::vector<TimePoint> sent;
        std::vector<Event> runs;
        std::vector<Event> refusals;
    };

    // Attempts of one call.
    struct Attempts
    {
        std::string service;
        // Places, in order, and whether the last one refused the call.
        std::vector<std::string> where;
        bool lastRefused = false;
        // The owner of a booking may move its run once, from another instance whose backend server certainly refused it to its own.
        bool moved = false;
    };

    void checkRetries(std::string &text, std::uint32_t mostAttempts) const;
    static void checkStory(std::string &text, const std::string &name, const Story &story);

    // By operation and identity.
    std::map<std::string, Story> m_stories;
    // Attempts of each call, by sending.
    std::map<std::size_t, std::map<std::uint64_t, Attempts>> m_attempts;
    std::string m_violations;
    std::size_t m_answers = 0;
};

} // namespace wisteriafork::test
