#include "core/ownership/opencopies.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Silence between ticks after which the process counts as paused. Below the settle time of ownership, which covers shorter pauses.
constexpr Duration PauseThreshold = std::chrono::milliseconds(200);
// Time after a pause in which calls that waited in socket buffers are read.
constexpr Duration ResumeTime = std::chrono::seconds(1);

} // namespace

OpenCopies::OpenCopies(const Clock &clock)
    : m_clock(clock), m_lastTick(clock.now()), m_pausedAt(m_lastTick), m_resumedAt(m_lastTick - ResumeTime)
{
}

void OpenCopies::tick()
{
    const TimePoint now = m_clock.now();
    if (now - m_lastTick > PauseThreshold) {
        m_pausedAt = m_lastTick;
        m_resumedAt = now;
    }
    m_lastTick = now;
}

TimePoint OpenCopies::opened(CallId call, const RequestKey &key)
{
    const TimePoint now = m_clock.now();
    TimePoint arrivedAt = now;
    if (now - m_lastTick > PauseThreshold) {
        arrivedAt = m_lastTick;
    } else if (now - m_resumedAt < ResumeTime) {
        arrivedAt = m_pausedAt;
    }
    m_copies[call] = {.key = key, .arrivedAt = arrivedAt};
    m_byKey.emplace(key, call);
    return arrivedAt;
}

void OpenCopies::closed(CallId call)
{
    const auto found = m_copies.find(call);
    if (found == m_copies.end()) {
        return;
    }
    const auto [first, last] = m_byKey.equal_range(found->second.key);
    for (auto entry = first; entry != last; ++entry) {
        if (entry->second == call) {
            m_byKey.erase(entry);
            break;
        }
    }
    m_copies.erase(found);
}

std::optional<TimePoint> OpenCopies::arrivedAt(CallId call) const
{
    const auto found = m_copies.find(call);
    return found == m_copies.end() ? std::nullopt : std::optional(found->second.arrivedAt);
}

CopyChecked OpenCopies::answer(const CopyCheck &check) const
{
    CopyChecked result{.key = check.key, .call = check.call, .youngestAge = std::nullopt};
    const auto [first, last] = m_byKey.equal_range(check.key);
    for (auto entry = first; entry != last; ++entry) {
        const Duration age = m_clock.now() - m_copies.at(entry->second).arrivedAt;
        result.youngestAge = result.youngestAge ? std::min(*result.youngestAge, age) : age;
    }
    return result;
}

} // namespace wisteriafork
