#include "fleet.h"

#include "timing.h"

#include <algorithm>

namespace wisteriafork::test {

void Fleet::cut(int from, int to, Duration duration)
{
    TimePoint &until = m_cutUntil[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
    until = std::max(until, m_now + duration);
}

void Fleet::dropFromList(int index, Duration duration)
{
    m_droppedUntil[static_cast<std::size_t>(index)] = m_now + duration;
    publish();
    after(duration + Duration{1}, [this] { publish(); });
}

void Fleet::freezeList(int index, Duration duration)
{
    m_frozenUntil[static_cast<std::size_t>(index)] = m_now + duration;
}

void Fleet::apply(const Fault &fault)
{
    const int index = fault.node % size();
    const Duration duration = ms(fault.duration);
    SimNode &target = node(index);
    const auto killNode = [this](int victim) {
        node(victim).kill();
        processEnded(victim);
    };
    switch (fault.kind) {
    case FaultKind::Kill:
        killNode(index);
        break;
    case FaultKind::KillAndRestart:
        killNode(index);
        after(duration, [this, index] {
            if (!node(index).up()) {
                restart(index);
            }
        });
        break;
    case FaultKind::Replace:
        target.stop();
        break;
    case FaultKind::Pause:
        target.pause(duration);
        break;
    case FaultKind::PauseBeforeSend:
        target.pauseBeforeSend(duration);
        break;
    case FaultKind::Isolate:
    case FaultKind::Deafen:
        for (int other = 0; other < size(); ++other) {
            if (other != index) {
                cut(other, index, 3 * duration);
                if (fault.kind == FaultKind::Isolate) {
                    cut(index, other, 3 * duration);
                }
            }
        }
        break;
    case FaultKind::CutPair:
        cut(index, (index + 1) % size(), 3 * duration);
        cut((index + 1) % size(), index, 3 * duration);
        break;
    case FaultKind::WrongDrop:
        dropFromList(index, 2 * duration);
        break;
    case FaultKind::FreezeList:
        freezeList(index, 2 * duration);
        break;
    case FaultKind::RestartAll:
        for (int each = 0; each < size(); ++each) {
            killNode(each);
            after(duration + upTo(200), [this, each] {
                if (!node(each).up()) {
                    restart(each);
                }
            });
        }
        break;
    }
}

void Fleet::settle()
{
    for (int index = 0; index < size(); ++index) {
        restart(index);
    }
    runUntil(m_now + ms(m_schedule.retentionMs + ListLagMs + 700));
}

void Fleet::play()
{
    m_faulty = true;
    const TimePoint begin = m_now;
    for (const Fault &fault : m_schedule.faults) {
        after(ms(fault.at), [this, fault] { apply(fault); });
    }
    for (std::size_t request = 0; request < m_schedule.requests.size(); ++request) {
        const RequestKey key = keyOf(static_cast<int>(request));
        after(ms(m_schedule.requests[request].at), [this, key, request] { clientSends(key, static_cast<int>(request)); });
        for (const Copy &copy : m_schedule.requests[request].copies) {
            after(ms(m_schedule.requests[request].at + copy.at), [this, key, copy] { clientSends(key, copy.node); });
        }
    }
    runUntil(begin + ms(FaultPhaseMs + ResendMs + PauseBoundMs));
    m_faulty = false;
    for (std::vector<TimePoint> &row : m_cutUntil) {
        std::fill(row.begin(), row.end(), TimePoint{});
    }
    std::fill(m_droppedUntil.begin(), m_droppedUntil.end(), TimePoint{});
    std::fill(m_frozenUntil.begin(), m_frozenUntil.end(), TimePoint{});
    publish();
    for (int index = 0; index < size(); ++index) {
        if (!node(index).up()) {
            restart(index);
        }
    }
}

std::string Fleet::keysWithoutAnswer()
{
    runUntil(m_now + ms(RecoveryMs));
    const int count = static_cast<int>(m_schedule.requests.size());
    std::vector<std::pair<RequestKey, std::size_t>> expected;
    for (int request = 0; request < count + 4; ++request) {
        const RequestKey key = keyOf(request < count ? request : 1000 + request);
        expected.emplace_back(key, m_judge.answers(key));
        clientSends(key, request);
    }
    runUntil(m_now + ms(CallerWaitMs + ClientDelayMs));
    std::string missing;
    for (const auto &[key, answers] : expected) {
        if (m_judge.answers(key) <= answers) {
            missing += "key " + std::to_string(key.low) + " got no answer\n";
        }
    }
    return missing;
}

} // namespace wisteriafork::test
