#include "fleet.h"

#include "core/base/hashing.h"
#include "timing.h"

#include <algorithm>
#include <array>

namespace wisteriafork::test {

namespace {

const std::array<std::string_view, 1> KeyPart{"request"};

RequestKey numberedKey(std::uint64_t number)
{
    const RequestKey base = hashParts(KeyPart);
    return {.high = base.high ^ (number * 0x9e3779b97f4a7c15ULL), .low = number};
}

} // namespace

Fleet::Fleet(const Schedule &schedule, const OwnershipMechanisms &mechanisms)
    : m_schedule(schedule), m_mechanisms(mechanisms), m_random(schedule.seed), m_judge(ms(schedule.retentionMs))
{
    const auto count = static_cast<std::size_t>(schedule.nodes);
    m_cutUntil.assign(count, std::vector<TimePoint>(count));
    m_droppedUntil.assign(count, {});
    m_frozenUntil.assign(count, {});
    m_listed.resize(count);
    static const std::array<const char *, 3> domains{"bryggen", "sandviken", "fana"};
    for (int index = 0; index < schedule.nodes; ++index) {
        MemberInfo info;
        info.name = NodeId("verksted-" + std::to_string(index));
        info.service = ServiceId("verksted");
        info.domain = DomainId(domains.at(static_cast<std::size_t>(index) % domains.size()));
        info.peerAddress = "127.0.0.1:" + std::to_string(7100 + index);
        m_nodes.push_back(std::make_unique<SimNode>(*this, index, info, std::chrono::minutes(7 * index)));
    }
}

OwnershipOptions Fleet::options(const MemberInfo &self) const
{
    OwnershipOptions options;
    options.self = self;
    options.maximumRetention = ms(m_schedule.retentionMs);
    options.hostListLag = ms(ListLagMs);
    options.isolationBound = ms(IsolationMs);
    options.settleTime = ms(600);
    options.resendInterval = ms(50);
    options.maximumResendInterval = ms(400);
    options.witnessCheckInterval = ms(500);
    if (self.name == node(0).info().name) {
        options.maximumRecords = static_cast<std::size_t>(m_schedule.maximumRecords);
    }
    options.mechanisms = m_mechanisms;
    return options;
}

void Fleet::after(Duration delay, std::function<void()> work)
{
    m_events.push({.at = m_now + delay, .sequence = ++m_sequence, .work = std::move(work)});
}

void Fleet::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        // The queue gives no way to move its first element out; it is removed at once.
        const Event event = std::move(const_cast<Event &>(m_events.top()));
        m_events.pop();
        m_now = event.at;
        event.work();
    }
    m_now = end;
}

void Fleet::runFor(Duration duration)
{
    runUntil(m_now + duration);
}

bool Fleet::chance(int perMille)
{
    return m_faulty && static_cast<int>(m_random() % 1000) < perMille;
}

Duration Fleet::upTo(int milliseconds)
{
    return std::chrono::microseconds(1 + m_random() % (static_cast<std::uint64_t>(milliseconds) * 1000));
}

Judge &Fleet::judge()
{
    return m_judge;
}

SimNode &Fleet::node(int index) const
{
    return *m_nodes.at(static_cast<std::size_t>(index));
}

int Fleet::size() const
{
    return m_schedule.nodes;
}

TimePoint Fleet::now() const
{
    return m_now;
}

const Schedule &Fleet::schedule() const
{
    return m_schedule;
}

RequestKey Fleet::keyOf(int request) const
{
    return numberedKey(static_cast<std::uint64_t>(request) + 1);
}

int Fleet::indexOf(const NodeId &name) const
{
    for (int index = 0; index < size(); ++index) {
        if (m_nodes[static_cast<std::size_t>(index)]->info().name == name) {
            return index;
        }
    }
    return 0;
}

RequestKey Fleet::keyRanking(const std::vector<int> &order) const
{
    for (std::uint64_t number = 5000;; ++number) {
        const RequestKey key = numberedKey(number);
        bool ordered = true;
        for (std::size_t next = 1; next < order.size(); ++next) {
            const NodeId &first = m_nodes.at(static_cast<std::size_t>(order[next - 1]))->info().name;
            ordered = ordered && outranks(key, first, m_nodes.at(static_cast<std::size_t>(order[next]))->info().name);
        }
        if (ordered) {
            return key;
        }
    }
}

void Fleet::clientSends(const RequestKey &key, int node)
{
    const int to = node % size();
    m_judge.sent(key, m_now);
    after(upTo(ClientDelayMs), [this, key, to] {
        // A client whose connection is refused takes the next node.
        int edge = to;
        for (int tried = 1; tried < size() && !this->node(edge).up(); ++tried) {
            edge = (edge + 1) % size();
        }
        this->node(edge).clientCall(key);
    });
}

std::uint64_t Fleet::controlMessages() const
{
    return m_controlMessages;
}

bool Fleet::connected(int from, int to) const
{
    return m_cutUntil[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)] <= m_now;
}

void Fleet::control(int from, int to, std::function<void()> deliver)
{
    ++m_controlMessages;
    const bool cut = !connected(from, to);
    if (chance(m_schedule.duplicates)) {
        after(upTo(1500), deliver);
    }
    if (chance(m_schedule.late)) {
        after(upTo(2500), std::move(deliver));
    } else if (!cut && !chance(m_schedule.loss)) {
        after(upTo(12), std::move(deliver));
    }
}

void Fleet::call(int from, int to, std::function<void()> deliver)
{
    if (from == to) {
        after(Duration{1}, std::move(deliver));
    } else if (connected(from, to)) {
        after(upTo(chance(m_schedule.late) ? 300 : 12), std::move(deliver));
    }
}

Incarnation Fleet::nextIncarnation()
{
    return ++m_incarnation;
}

const HostList &Fleet::publishedList() const
{
    return m_published;
}

void Fleet::publish()
{
    HostList &list = m_published;
    list.members.clear();
    list.service = ServiceId("verksted");
    list.version = ++m_listVersion;
    for (std::size_t index = 0; index < m_listed.size(); ++index) {
        if (m_listed[index] && m_droppedUntil[index] <= m_now) {
            list.members.push_back(*m_listed[index]);
        }
    }
    for (int index = 0; index < size(); ++index) {
        deliverList(index, list);
    }
}

void Fleet::deliverList(int index, const HostList &list)
{
    const TimePoint frozen = m_frozenUntil[static_cast<std::size_t>(index)];
    const Duration delay = std::max(frozen - m_now, Duration{0}) + upTo(400);
    after(delay, [this, index, list] { node(index).readList(list); });
}

void Fleet::processStarted(int index, Incarnation incarnation)
{
    after(upTo(300), [this, index, incarnation] {
        if (node(index).up() && node(index).info().incarnation == incarnation) {
            m_listed[static_cast<std::size_t>(index)] = node(index).info();
            publish();
        }
    });
}

void Fleet::processEnded(int index)
{
    after(upTo(500), [this, index] {
        if (!node(index).up()) {
            m_listed[static_cast<std::size_t>(index)].reset();
            publish();
        }
    });
}

void Fleet::processLeaving(int index)
{
    std::optional<MemberInfo> &listed = m_listed[static_cast<std::size_t>(index)];
    if (listed) {
        listed->state = ListedState::Leaving;
        publish();
    }
}

void Fleet::restart(int index)
{
    const Incarnation incarnation = nextIncarnation();
    node(index).start(incarnation);
    processStarted(index, incarnation);
}

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
