#include "judge.h"

#include <algorithm>
#include <sstream>

namespace wisteriafork::test {

namespace {

long long milliseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

void Judge::sent(const RequestKey &key, TimePoint at)
{
    m_stories[key].sent.push_back(at);
}

void Judge::ran(const RequestKey &key, TimePoint at, const std::string &where)
{
    m_stories[key].runs.emplace_back(at, where);
}

void Judge::refusedNotRun(const RequestKey &key, TimePoint at, const std::string &where)
{
    m_stories[key].refusals.emplace_back(at, where);
}

void Judge::answered(const RequestKey &asked, const RequestKey &answered, TimePoint at)
{
    m_stories[asked].answers.push_back(at);
    if (asked != answered || runs(answered) == 0) {
        m_wrongAnswers += "answer of another request at " + std::to_string(milliseconds(at)) + "\n";
    }
}

std::size_t Judge::runs(const RequestKey &key) const
{
    const auto found = m_stories.find(key);
    return found == m_stories.end() ? 0 : found->second.runs.size();
}

std::size_t Judge::answers(const RequestKey &key) const
{
    const auto found = m_stories.find(key);
    return found == m_stories.end() ? 0 : found->second.answers.size();
}

Duration Judge::slowestAnswer() const
{
    Duration slowest{0};
    for (const auto &[key, story] : m_stories) {
        slowest = story.answers.empty() ? Duration::max() : std::max<Duration>(slowest, story.answers.front() - story.sent.front());
    }
    return slowest;
}

std::string Judge::verdict() const
{
    std::ostringstream text;
    text << m_wrongAnswers;
    for (const auto &[key, story] : m_stories) {
        for (std::size_t later = 1; later < story.runs.size(); ++later) {
            if (story.runs[later].first - story.runs[later - 1].first < m_retention) {
                text << "key " << key.low << " ran twice: at " << milliseconds(story.runs[later - 1].first) << " on "
                     << story.runs[later - 1].second << " and at " << milliseconds(story.runs[later].first) << " on "
                     << story.runs[later].second << "\n";
            }
        }
        for (const auto &[refusedAt, by] : story.refusals) {
            for (const auto &[ranAt, where] : story.runs) {
                const bool before = ranAt <= refusedAt && refusedAt - ranAt < m_retention;
                const bool newCopy = std::any_of(story.sent.begin(), story.sent.end(),
                                                 [&, refused = refusedAt, ran = ranAt](TimePoint at) { return at > refused && at <= ran; });
                if (before || (ranAt > refusedAt && !newCopy)) {
                    text << "key " << key.low << " refused as not run at " << milliseconds(refusedAt) << " by " << by << " but ran at "
                         << milliseconds(ranAt) << " on " << where << "\n";
                }
            }
        }
    }
    return text.str();
}

} // namespace wisteriafork::test
