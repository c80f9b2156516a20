#pragma once

#include "core/base/clock.h"
#include "core/base/requestkey.h"

#include <map>
#include <string>
#include <vector>

namespace wisteriafork::test {

// Independent record of what the backend servers ran, what the clients sent and what was refused, in true time. It finds violations of the
// at-most-once rules without looking at the nodes.
class Judge
{
public:
    explicit Judge(Duration retention) : m_retention(retention)
    {
    }

    void sent(const RequestKey &key, TimePoint at);
    void ran(const RequestKey &key, TimePoint at, const std::string &where);
    void refusedNotRun(const RequestKey &key, TimePoint at, const std::string &where);
    // A whole answer reached the client of `asked`; the backend server gave it for `answered`.
    void answered(const RequestKey &asked, const RequestKey &answered, TimePoint at);

    std::size_t runs(const RequestKey &key) const;
    std::size_t answers(const RequestKey &key) const;
    // Longest time from the first sending of a key to its first answer; the maximum if a key got none.
    Duration slowestAnswer() const;
    // Violations found, as lines of text; empty if there is none.
    std::string verdict() const;

private:
    struct Story
    {
        std::vector<TimePoint> sent;
        std::vector<std::pair<TimePoint, std::string>> runs;
        std::vector<std::pair<TimePoint, std::string>> refusals;
        std::vector<TimePoint> answers;
    };

    Duration m_retention;
    std::map<RequestKey, Story> m_stories;
    std::string m_wrongAnswers;
};

} // namespace wisteriafork::test
