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
    options.claimBatchWindow = ms(m_schedule.claimBatchMs);
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

} // namespace wisteriafork::test
