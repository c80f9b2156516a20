#include "invariants/judge.h"

#include "invariants/timing.h"

#include <algorithm>

namespace wisteriafork::test {

namespace {

std::string timeOf(TimePoint at)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count()) + " us";
}

std::string nameOf(const Body &body)
{
    return body.service + "." + body.operation + " " + body.identity;
}

} // namespace

void Judge::sent(const Body &body, TimePoint at)
{
    Story &story = m_stories[nameOf(body)];
    story.booking = body.booking;
    story.sent.push_back(at);
}

void Judge::ran(const Body &body, TimePoint at, const std::string &where)
{
    m_stories[nameOf(body)].runs.push_back({.at = at, .where = where, .call = body.call});
    ++m_runsOfCalls[body.send][body.call];
}

void Judge::refusedNotRun(const Body &body, TimePoint at, const std::string &where)
{
    m_stories[nameOf(body)].refusals.push_back({.at = at, .where = where, .call = body.call});
}

void Judge::answered(const Body &body, const Answer &answer, TimePoint at)
{
    ++m_answers;
    if (answer.operation != body.operation || answer.identity != body.identity || !answer.whole) {
        violated(3, at, nameOf(body) + " got " + (answer.whole ? "" : "a part of ") + answer.operation + " " + answer.identity);
    }
}

void Judge::shedByServer(const Body &body)
{
    m_stories[nameOf(body)].shedByServer = true;
}

bool Judge::wasShedByServer(const Body &body) const
{
    const auto found = m_stories.find(nameOf(body));
    return found != m_stories.end() && found->second.shedByServer;
}

void Judge::violated(int invariant, TimePoint at, const std::string &what)
{
    m_violations += "invariant " + std::to_string(invariant) + " at " + timeOf(at) + ": " + what + "\n";
}

std::string Judge::verdict(std::uint32_t mostRetries) const
{
    std::string text = m_violations;
    checkRetries(text, mostRetries);
    for (const auto &[name, story] : m_stories) {
        checkStory(text, name, story);
    }
    return text;
}

void Judge::checkRetries(std::string &text, std::uint32_t mostRetries) const
{
    for (const auto &[send, calls] : m_runsOfCalls) {
        std::uint32_t retries = 0;
        for (const auto &[call, runs] : calls) {
            retries += runs - 1;
        }
        if (retries > mostRetries) {
            text += "invariant 1: sending " + std::to_string(send) + " was retried " + std::to_string(retries) + " times\n";
        }
    }
}

void Judge::checkStory(std::string &text, const std::string &name, const Story &story)
{
    if (story.booking && story.runs.size() > 1) {
        text += "invariant 5: " + name + " ran";
        for (const Event &run : story.runs) {
            text += " on " + run.where + " at " + timeOf(run.at);
        }
        text += "\n";
    }
    for (const Event &refusal : story.refusals) {
        for (const Event &run : story.runs) {
            const bool newCopy
                = std::any_of(story.sent.begin(), story.sent.end(), [&](TimePoint at) { return at >= refusal.at && at <= run.at; });
            const bool sameAttempt = run.call == refusal.call;
            if (sameAttempt || (story.booking && (run.at <= refusal.at || !newCopy))) {
                text += "invariant 4: " + name + " refused as not run at " + timeOf(refusal.at) + " by " + refusal.where + " but ran at "
                    + timeOf(run.at) + " on " + run.where + "\n";
            }
        }
    }
}

} // namespace wisteriafork::test
