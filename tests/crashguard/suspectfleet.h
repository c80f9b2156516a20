#pragma once

#include "core/base/manualclock.h"
#include "core/crashguard/suspectexchange.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wisteriafork {

// Nodes that exchange suspects over links that a test may cut, in virtual time. Each message takes 1 to 20 ms.
class SuspectFleet
{
public:
    explicit SuspectFleet(std::size_t nodes, std::uint64_t seed = 20261207) : m_seed(seed), m_random(seed)
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            m_addresses.insert(addressOf(index));
        }
        m_nodes.resize(nodes);
        for (std::size_t index = 0; index < nodes; ++index) {
            restart(index);
        }
    }

    // Starts a node anew: it knows nothing.
    void restart(std::size_t index)
    {
        Node &node = m_nodes[index];
        ++node.incarnation;
        node.exchange.reset();
        CrashGuardOptions guardOptions{.self = NodeId(addressOf(index)), .incarnation = node.incarnation};
        if (const auto size = tableSizes.find(index); size != tableSizes.end()) {
            guardOptions.maximumSuspects = size->second;
        }
        node.guard = std::make_unique<CrashGuard>(guardOptions, m_clock);
        node.exchange
            = std::make_unique<SuspectExchange>(*node.guard, options, addressOf(index), m_clock, m_seed + index * 1000 + node.incarnation);
    }

    CrashGuard &guard(std::size_t index)
    {
        return *m_nodes[index].guard;
    }

    // Lets the backend server beside the node crash while it runs the request.
    void crash(std::size_t index, const RequestKey &fingerprint)
    {
        const CallId call = ++m_lastCall;
        if (guard(index).tryStart(call, fingerprint) != CrashGuardDecision::Refuse) {
            guard(index).onConnectionBroken(call);
            guard(index).onConnectionRefused();
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end; m_clock.advance(std::chrono::milliseconds(1))) {
            deliverDue();
            if ((m_clock.now().time_since_epoch() % std::chrono::milliseconds(100)).count() == 0) {
                for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                    tick(index);
                }
            }
        }
    }

    // Number of nodes that refuse the request.
    std::size_t banCount(const RequestKey &fingerprint) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_nodes, [&](const Node &node) { return node.guard->isBanned(fingerprint); }));
    }

    SuspectExchangeOptions options;
    // Whether a message from one node to another arrives.
    std::function<bool(std::size_t from, std::size_t to)> linkWorks = [](std::size_t, std::size_t) {
        return true;
    };
    // Fingerprints that the table of a node holds at most, if not as usual. Counts from its next start.
    std::map<std::size_t, std::size_t> tableSizes;
    // Whether reports around a crash arrive.
    bool reportsArrive = true;
    // Messages of exchanges, and reports in them.
    std::size_t messages = 0;
    std::size_t reports = 0;
    std::size_t mostReportsInMessage = 0;
    // Reports in the exchanges that a node has begun.
    std::map<std::size_t, std::size_t> reportsAsked;

private:
    struct Node
    {
        std::unique_ptr<CrashGuard> guard;
        std::unique_ptr<SuspectExchange> exchange;
        Incarnation incarnation = 0;
    };

    static std::string addressOf(std::size_t index)
    {
        return std::to_string(1000 + index);
    }

    static std::size_t indexOf(const std::string &address)
    {
        return std::stoul(address) - 1000;
    }

    void deliverDue()
    {
        while (!m_inTransit.empty() && m_inTransit.begin()->first <= m_clock.now()) {
            const auto deliver = std::move(m_inTransit.begin()->second);
            m_inTransit.erase(m_inTransit.begin());
            deliver();
        }
    }

    // Delivers unless the link is cut when the message is sent, or the receiver has restarted meanwhile.
    void send(std::size_t from, std::size_t to, std::function<void()> deliver)
    {
        if (!linkWorks(from, to)) {
            return;
        }
        const auto delay = std::chrono::milliseconds(std::uniform_int_distribution<int>(1, 20)(m_random));
        m_inTransit.emplace(m_clock.now() + delay, [this, to, incarnation = m_nodes[to].incarnation, deliver = std::move(deliver)] {
            if (m_nodes[to].incarnation == incarnation) {
                deliver();
            }
        });
    }

    void count(std::size_t reportsInMessage)
    {
        ++messages;
        reports += reportsInMessage;
        mostReportsInMessage = std::max(mostReportsInMessage, reportsInMessage);
    }

    void tick(std::size_t index)
    {
        Node &node = m_nodes[index];
        node.guard->tick();
        if (const auto due = node.guard->takeReports(); due && reportsArrive) {
            for (std::size_t to = 0; to < m_nodes.size(); ++to) {
                if (to != index) {
                    sendReports(index, to, *due);
                }
            }
        }
        if (node.exchange->isQuestionDue()) {
            ask(index, indexOf(node.exchange->beginQuestion(m_addresses).value()), node.exchange->question());
        }
    }

    void sendReports(std::size_t from, std::size_t to, const CrashSuspects &message)
    {
        send(from, to, [this, to, message] { guard(to).onReportsReceived(message); });
    }

    void ask(std::size_t from, std::size_t to, const SuspectQuestion &question)
    {
        count(0);
        send(from, to, [this, from, to, question] {
            const SuspectAnswer answer = m_nodes[to].exchange->answer(question);
            count(answer.known.suspects.size());
            reportsAsked[from] += answer.known.suspects.size();
            send(to, from, [this, from, to, answer] {
                if (const auto difference = m_nodes[from].exchange->onAnswer(answer)) {
                    for (const CrashSuspects &reply : difference->replies) {
                        count(reply.suspects.size());
                        reportsAsked[from] += reply.suspects.size();
                        sendReports(from, to, reply);
                    }
                }
            });
        });
    }

    ManualClock m_clock;
    const std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::set<std::string> m_addresses;
    std::vector<Node> m_nodes;
    std::multimap<TimePoint, std::function<void()>> m_inTransit;
    CallId m_lastCall = 0;
};

} // namespace wisteriafork
