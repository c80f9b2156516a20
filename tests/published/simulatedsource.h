#pragma once

#include "core/base/manualclock.h"
#include "core/published/publishedsync.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>

namespace wisteriafork {

// Event queue in virtual time.
class SimulatedTime
{
public:
    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({clock.now() + delay, ++m_sequence, std::move(action)});
    }

    void runFor(Duration time)
    {
        const TimePoint end = clock.now() + time;
        while (!m_events.empty() && m_events.top().time <= end) {
            const Event event = m_events.top();
            m_events.pop();
            clock.set(event.time);
            event.action();
        }
        clock.set(end);
    }

    ManualClock clock;

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
};

// Simulates the source of the published state: one revision for all feeds, and watches that wait for changes.
class SimulatedSource
{
public:
    enum class State : std::uint8_t {
        Up,
        // Calls fail at once.
        Refusing,
        // Calls get no response, and watches that wait are cut off without a sign.
        Silent,
    };

    struct Result
    {
        bool historyLost = false;
        std::vector<PublishedChange> changes;
        std::uint64_t revision = 0;
        std::uint64_t era = 0;
    };

    explicit SimulatedSource(SimulatedTime &time) : m_time(time)
    {
    }

    void put(FeedId feed, const std::string &key, const std::string &value)
    {
        auto &content = m_content[static_cast<std::size_t>(feed)];
        ++m_revision;
        const auto known = content.find(key);
        content[key] = {.key = key,
                        .value = value,
                        .creationRevision = known != content.end() ? known->second.creationRevision : m_revision,
                        .revision = m_revision};
        record(feed, content[key]);
    }

    void remove(FeedId feed, const std::string &key)
    {
        if (m_content[static_cast<std::size_t>(feed)].erase(key) > 0) {
            record(feed, {.key = key, .revision = ++m_revision, .removed = true});
        }
    }

    // State of the source at one moment.
    struct Copy
    {
        std::array<std::map<std::string, PublishedChange>, FeedCount> content;
        std::uint64_t revision = 0;
    };

    Copy copy() const
    {
        return {.content = m_content, .revision = m_revision};
    }

    // The source comes back from the copy: what was changed since is lost, and its revisions are given out again.
    void restore(const Copy &copy)
    {
        ++m_era;
        m_content = copy.content;
        m_revision = copy.revision;
        m_historyFrom = m_revision;
        for (auto &history : m_history) {
            history.clear();
        }
        for (auto &waiting : m_waiting) {
            for (const auto &respond : std::exchange(waiting, {})) {
                respond();
            }
        }
    }

    std::uint64_t era() const
    {
        return m_era;
    }

    void forgetHistory()
    {
        m_historyFrom = m_revision;
    }

    Result readAll(FeedId feed) const
    {
        Result result{.revision = m_revision, .era = m_era};
        for (const auto &[key, item] : m_content[static_cast<std::size_t>(feed)]) {
            result.changes.push_back(item);
        }
        return result;
    }

    // Calls the handler with the changes after the revision, as soon as there are any, or at the end of the wait.
    void watch(FeedId feed, std::uint64_t after, Duration wait, std::function<void(Result)> handler)
    {
        if (after < m_historyFrom || after > m_revision) {
            handler({.historyLost = true, .era = m_era});
            return;
        }
        const auto done = std::make_shared<bool>(false);
        auto respond = [this, feed, after, done, handler = std::move(handler)] {
            if (!std::exchange(*done, true)) {
                Result result{.revision = m_revision, .era = m_era};
                for (const PublishedChange &change : m_history[static_cast<std::size_t>(feed)]) {
                    if (change.revision > after) {
                        result.changes.push_back(change);
                    }
                }
                handler(std::move(result));
            }
        };
        const auto &history = m_history[static_cast<std::size_t>(feed)];
        if (!history.empty() && history.back().revision > after) {
            respond();
            return;
        }
        m_waiting[static_cast<std::size_t>(feed)].push_back(respond);
        m_time.after(wait, respond);
    }

    std::uint64_t revision() const
    {
        return m_revision;
    }

    const std::map<std::string, PublishedChange> &content(FeedId feed) const
    {
        return m_content[static_cast<std::size_t>(feed)];
    }

    // Revision of the last change of the feed before this time; 0 if there is none.
    std::uint64_t lastChangeBefore(FeedId feed, TimePoint time) const
    {
        std::uint64_t last = 0;
        for (const auto &[changeTime, changeRevision] : m_changeTimes[static_cast<std::size_t>(feed)]) {
            last = changeTime < time ? changeRevision : last;
        }
        return last;
    }

    State state = State::Up;

private:
    void record(FeedId feed, const PublishedChange &change)
    {
        m_changeTimes[static_cast<std::size_t>(feed)].emplace_back(m_time.clock.now(), change.revision);
        m_history[static_cast<std::size_t>(feed)].push_back(change);
        for (const auto &respond : std::exchange(m_waiting[static_cast<std::size_t>(feed)], {})) {
            respond();
        }
    }

    SimulatedTime &m_time;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 0;
    std::uint64_t m_historyFrom = 0;
    std::array<std::map<std::string, PublishedChange>, FeedCount> m_content;
    std::array<std::vector<PublishedChange>, FeedCount> m_history;
    std::array<std::vector<std::function<void()>>, FeedCount> m_waiting;
    std::array<std::vector<std::pair<TimePoint, std::uint64_t>>, FeedCount> m_changeTimes;
};

} // namespace wisteriafork
