#pragma once

#include "judge.h"
#include "schedule.h"
#include "simnode.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace wisteriafork::test {

// One service of several nodes in virtual time, with a network, a platform that publishes host lists, clients and a judge.
class Fleet
{
public:
    Fleet(const Schedule &schedule, const OwnershipMechanisms &mechanisms);

    // Starts all nodes and lets them join.
    void settle();
    // Plays faults and requests, then heals everything and restarts what is down.
    void play();
    // Sends one copy of each key of the schedule, and of new keys, and returns those that got no answer, as text.
    std::string keysWithoutAnswer();

    Judge &judge();
    SimNode &node(int index) const;
    int size() const;
    TimePoint now() const;
    OwnershipOptions options(const MemberInfo &self) const;
    void after(Duration delay, std::function<void()> work);
    void runUntil(TimePoint end);
    void runFor(Duration duration);
    bool chance(int perMille);
    Duration upTo(int milliseconds);
    const Schedule &schedule() const;
    RequestKey keyOf(int request) const;
    // A key for which the nodes rank in this order.
    RequestKey keyRanking(const std::vector<int> &order) const;
    void clientSends(const RequestKey &key, int node);
    int indexOf(const NodeId &name) const;
    // Control messages sent so far.
    std::uint64_t controlMessages() const;
    // Delivers a control message, or not, as the schedule says.
    void control(int from, int to, std::function<void()> deliver);
    // Delivers a call or its outcome: in order, never twice, and late only behind a cut link.
    bool connected(int from, int to) const;
    void call(int from, int to, std::function<void()> deliver);
    void restart(int index);
    void processEnded(int index);
    void processLeaving(int index);
    void processStarted(int index, Incarnation incarnation);
    Incarnation nextIncarnation();
    void cut(int from, int to, Duration duration);
    void dropFromList(int index, Duration duration);
    void freezeList(int index, Duration duration);
    const HostList &publishedList() const;
    void apply(const Fault &fault);

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> work;
    };
    struct Later
    {
        bool operator()(const Event &first, const Event &second) const
        {
            return std::tie(first.at, first.sequence) > std::tie(second.at, second.sequence);
        }
    };

    void publish();
    void deliverList(int index, const HostList &list);

    Schedule m_schedule;
    OwnershipMechanisms m_mechanisms;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    std::vector<std::unique_ptr<SimNode>> m_nodes;
    Judge m_judge;
    std::uint64_t m_controlMessages = 0;
    bool m_faulty = false;
    // Time until which a link is cut, by sender and receiver.
    std::vector<std::vector<TimePoint>> m_cutUntil;
    std::vector<TimePoint> m_droppedUntil;
    std::vector<TimePoint> m_frozenUntil;
    std::vector<std::optional<MemberInfo>> m_listed;
    HostList m_published;
    std::uint64_t m_listVersion = 0;
    Incarnation m_incarnation = 0;
};

} // namespace wisteriafork::test
