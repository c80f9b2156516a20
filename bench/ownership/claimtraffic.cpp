#include "ownership/claimtraffic.h"

#include "core/base/hashing.h"
#include "core/base/manualclock.h"
#include "core/node/peermessage.h"
#include "core/ownership/ownership.h"
#include "net/codec.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

namespace wisteriafork::bench {

namespace {

constexpr std::size_t Nodes = 4;
constexpr Duration OneWay = std::chrono::milliseconds(5);
constexpr Duration Tick = std::chrono::milliseconds(100);
// Longer than a cold start with the default waiting times.
constexpr Duration Settling = std::chrono::seconds(140);
constexpr Duration Measured = std::chrono::seconds(120);
// Incarnations are times in milliseconds since 1970.
constexpr Incarnation FirstIncarnation = 1'796'000'000'000;

// Four nodes of one service on a network without losses.
class TrafficFleet
{
public:
    explicit TrafficFleet(double bookingsPerSecond) : m_gap(1.0 / (bookingsPerSecond * Nodes)), m_bookings(bookingsPerSecond > 0)
    {
        HostList list;
        list.version = 1;
        list.service = ServiceId("rezervacije");
        for (std::size_t index = 0; index < Nodes; ++index) {
            MemberInfo &member = list.members.emplace_back();
            member.name = NodeId("rezervacije-osijek-" + std::to_string(index));
            member.incarnation = FirstIncarnation + index;
            member.service = list.service;
            member.domain = DomainId("domain-" + std::to_string(index));
            member.peerAddress = "127.0.0.1:" + std::to_string(7000 + index);
        }
        for (const MemberInfo &member : list.members) {
            OwnershipOptions options;
            options.self = member;
            m_names.push_back(member.name);
            m_nodes.push_back(std::make_unique<Ownership>(options, m_clock));
        }
        for (std::size_t index = 0; index < Nodes; ++index) {
            handle(index, ServiceListRead{list});
            tick(index);
        }
    }

    void run()
    {
        runFor(Settling);
        m_messages = 0;
        m_bytes = 0;
        m_end = m_clock.now() + Measured;
        if (m_bookings) {
            book();
        }
        runFor(Measured);
    }

    std::uint64_t messages() const
    {
        return m_messages;
    }

    std::uint64_t bytes() const
    {
        return m_bytes;
    }

    // Sorted times from a booking's arrival at its owner to its run, in milliseconds.
    std::vector<double> waits() const
    {
        std::vector<double> sorted = m_waits;
        std::sort(sorted.begin(), sorted.end());
        return sorted;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> work;

        bool operator<(const Event &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    void after(Duration delay, std::function<void()> work)
    {
        m_events.push({m_clock.now() + delay, ++m_sequence, std::move(work)});
    }

    void runFor(Duration duration)
    {
        const TimePoint end = m_clock.now() + duration;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_clock.set(event.at);
            event.work();
        }
        m_clock.set(end);
    }

    void tick(std::size_t index)
    {
        after(Tick, [this, index] {
            handle(index, OwnershipTick{});
            tick(index);
        });
    }

    // Bookings arrive at random times at their owners.
    void book()
    {
        const RequestKey key{.high = m_random(), .low = m_random()};
        std::size_t owner = 0;
        for (std::size_t index = 1; index < Nodes; ++index) {
            owner = outranks(key, m_names[index], m_names[owner]) ? index : owner;
        }
        m_arrived[key] = m_clock.now();
        handle(owner,
               KeyedCall{.call = ++m_calls,
                         .key = key,
                         .retention = std::chrono::seconds(100),
                         .deadline = m_clock.now() + std::chrono::seconds(2),
                         .from = {},
                         .arrivedAt = m_clock.now()});
        const std::chrono::duration<double> gap(std::exponential_distribution<double>(1.0 / m_gap)(m_random));
        after(std::chrono::duration_cast<Duration>(gap), [this] {
            if (m_clock.now() < m_end) {
                book();
            }
        });
    }

    void handle(std::size_t index, const OwnershipInput &input)
    {
        for (const OwnershipOutput &output : m_nodes[index]->handle(input)) {
            if (const auto *send = std::get_if<SendOwnershipMessage>(&output)) {
                transmit(index, *send);
            } else if (const auto *wake = std::get_if<WakeOwnership>(&output)) {
                after(wake->at - m_clock.now(), [this, index] { handle(index, OwnershipWake{}); });
            } else if (const auto *run = std::get_if<RunKey>(&output)) {
                m_waits.push_back(std::chrono::duration<double, std::milli>(m_clock.now() - m_arrived.at(run->key)).count());
                after(std::chrono::milliseconds(20), [this, index, run = *run] {
                    handle(index, ExecutionFinished{.key = run.key, .call = run.call, .answerBytes = 100});
                });
            }
        }
    }

    void transmit(std::size_t from, const SendOwnershipMessage &send)
    {
        ++m_messages;
        m_bytes += encodeMessage(PeerMessage(send.message)).size();
        const auto to = static_cast<std::size_t>(std::find(m_names.begin(), m_names.end(), send.to) - m_names.begin());
        after(OneWay, [this, to, from, message = send.message] {
            handle(to, OwnershipMessageReceived{.from = m_names[from], .message = message});
        });
    }

    double m_gap;
    bool m_bookings;
    std::mt19937_64 m_random{20261204};
    ManualClock m_clock;
    std::vector<NodeId> m_names;
    std::vector<std::unique_ptr<Ownership>> m_nodes;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    std::unordered_map<RequestKey, TimePoint> m_arrived;
    std::vector<double> m_waits;
    TimePoint m_end;
    CallId m_calls = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace

void printClaimTraffic()
{
    std::cout << "claim traffic with 4 nodes, 5 ms one way; encoded messages without transport headers\n" << std::fixed;
    for (const double rate : {0.0, 1.0, 10.0, 50.0}) {
        TrafficFleet fleet(rate);
        fleet.run();
        const double seconds = std::chrono::duration<double>(Measured).count();
        // Each message is sent by one node and received by another.
        const double perNode = 2.0 * static_cast<double>(fleet.bytes()) / (seconds * Nodes);
        std::cout << std::setprecision(0) << std::setw(4) << rate << " bookings/s per node: " << std::setprecision(1) << perNode
                  << " B/s sent and received per node";
        const std::vector<double> waits = fleet.waits();
        if (!waits.empty()) {
            const auto count = static_cast<double>(waits.size());
            std::cout << std::setprecision(2) << ", " << static_cast<double>(fleet.messages()) / count << " messages and "
                      << std::setprecision(0) << static_cast<double>(fleet.bytes()) / count << " bytes per booking, wait in ms: median "
                      << std::setprecision(2) << waits[waits.size() / 2] << ", 99 % " << waits[waits.size() * 99 / 100] << ", most "
                      << waits.back();
        }
        std::cout << "\n";
    }
}

} // namespace wisteriafork::bench
