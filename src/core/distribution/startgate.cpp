#include "core/distribution/startgate.h"

#include <algorithm>

namespace wisteriafork {

namespace {
// Bounds on the peers asked in total and per tick.
constexpr std::size_t MaxAsked = 64;
constexpr std::size_t AskedPerTick = 16;
// Refused connections after which a peer counts as not running.
constexpr unsigned RefusalsToSettle = 2;
} // namespace

StartGate::StartGate(const DistributionOptions &options) : m_options(options)
{
}

bool StartGate::takesMore() const
{
    return m_asked.size() < MaxAsked;
}

std::vector<Introduction> StartGate::takeDue(std::span<const Introduction> peers, TimePoint now)
{
    for (const Introduction &peer : peers) {
        if (takesMore() && find(peer.name) == nullptr) {
            m_asked.push_back({.peer = peer, .due = now});
        }
    }
    std::vector<Introduction> due;
    for (Asked &asked : m_asked) {
        if (asked.due <= now && !isSettled(asked) && due.size() < AskedPerTick) {
            ++asked.attempts;
            asked.due = now + m_options.startAnswerTimeout;
            due.push_back(asked.peer);
        }
    }
    return due;
}

void StartGate::noteAnswer(const NodeId &peer)
{
    m_answered = true;
    if (Asked *asked = find(peer)) {
        asked->answered = true;
    }
}

void StartGate::noteUnreachable(const NodeId &peer)
{
    if (Asked *asked = find(peer)) {
        ++asked->refused;
    }
}

bool StartGate::isSettled(const Asked &asked) const
{
    return asked.answered || asked.attempts > m_options.startAttempts || asked.refused >= RefusalsToSettle;
}

bool StartGate::isDone() const
{
    return std::all_of(m_asked.begin(), m_asked.end(), [this](const Asked &asked) { return isSettled(asked); });
}

bool StartGate::hasAnswer() const
{
    return m_answered;
}

StartGate::Asked *StartGate::find(const NodeId &peer)
{
    const auto found = std::find_if(m_asked.begin(), m_asked.end(), [&](const Asked &asked) { return asked.peer.name == peer; });
    return found == m_asked.end() ? nullptr : &*found;
}

} // namespace wisteriafork
