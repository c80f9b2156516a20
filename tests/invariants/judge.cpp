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

void Judge::attempted(const Body &body, TimePoint at, const std::string &where, bool refused)
{
    Attempts &attempts = m_attempts[body.send][body.call];
    attempts.service = body.service;
    attempts.where.push_back(where);
    const bool moves = body.booking && attempts.lastRefused && !attempts.moved && where != *(attempts.where.end() - 2);
    attempts.moved = attempts.moved || moves;
    attempts.lastRefused = refused;
    if (body.single && attempts.where.size() > (attempts.moved ? 2 : 1)) {
        std::string places;
        for (const std::string &place : attempts.where) {
            places += " " + place;
        }
        violated(1, at, nameOf(body) + " names no request but was tried on" + places);
    }
}

void Judge::ran(const Body &body, TimePoint at, const std::string &where)
{
    m_stories[nameOf(body)].runs.push_back({.at = at, .where = where, .call = body.call});
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

std::string Judge::verdict(std::uint32_t mostAttempts) const
{
    std::string text = m_violations;
    checkRetries(text, mostAttempts);
    for (const auto &[name, story] : m_stories) {
        checkStory(text, name, story);
    }
    return text;
}

void Judge::checkRetries(std::string &text, std::uint32_t mostAttempts) const
{
    for (const auto &[send, calls] : m_attempts) {
        std::size_t retries = 0;
        // A service is a depth of the chain.
        std::map<std::string, std::size_t> atService;
        for (const auto &[call, attempts] : calls) {
            const std::size_t count = attempts.where.size() - (attempts.moved ? 1 : 0);
            retries += count - 1;
            atService[attempts.service] += count;
        }
        if (retries >= mostAttempts) {
            text += "invariant 1: sending " + std::to_string(send) + " was retried " + std::to_string(retries) + " times\n";
        }
        for (const auto &[service, count] : atService) {
            if (count > mostAttempts) {
                text += "invariant 1: sending " + std::to_string(send) + " had " + std::to_string(count) + " attempts at " + service + "\n";
            }
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
