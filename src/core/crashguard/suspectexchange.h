#pragma once

#include "core/base/clock.h"
#include "core/base/random.h"
#include "core/crashguard/crashguard.h"
#include "core/crashguard/suspectmessages.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisteriafork {

struct SuspectExchangeOptions
{
    // Interval between two questions in calm. It bounds the time after which a node that was cut off learns what it has missed.
    Duration idleInterval{std::chrono::seconds(1)};
    // The same after a start, after a change of the suspects, and while nodes are found to know different ones.
    Duration quickInterval{std::chrono::milliseconds(200)};
    // Questions at the quick interval after a start or a change. Several, because the node that is asked may have missed the same.
    unsigned quickQuestions = 6;
    // Time after which an answer is no longer expected.
    Duration answerTimeout{std::chrono::seconds(1)};
    // Nodes that a node asks in turn. Few, so that the sessions between nodes do not grow with the fleet; enough to connect all nodes.
    std::size_t partners = 8;
    // Fingerprints in one message, so that no message grows with the number of suspects.
    std::size_t reportsPerMessage = 200;
    // Pause for each report that was sent or received, which bounds the bytes spent on differences that do not end.
    Duration pausePerReport{std::chrono::milliseconds(20)};
};

// Brings the suspects of a node up to date without the reports, which are sent only around a crash: a node misses them that starts later,
// is cut off, or loses all repetitions. Each node asks other nodes in turn, one at a time, with a digest of what it knows. If the digests
// differ, the other node answers with all that it knows, in pages, and gets in return what it lacks. In calm this takes one small question
// and answer a second and node, whatever the number of nodes. Decides only; the user of the class sends the messages. Not thread safe.
class SuspectExchange
{
public:
    // Result of an exchange that has found a difference, for logs.
    struct Difference
    {
        // Reports that the other node has sent.
        std::size_t received = 0;
        // Messages to send to it, because it lacks something.
        std::vector<CrashSuspects> replies;
    };

    // `guard` and `clock` must outlive the object. Nodes need different seeds.
    SuspectExchange(CrashGuard &guard, const SuspectExchangeOptions &options, std::string ownAddress, const Clock &clock,
                    std::uint64_t seed);

    // True if another node is to be asked now: call `beginQuestion`. Call every 100 ms.
    bool isQuestionDue();
    // Address of the node to ask; empty if there is none. The question counts as sent; call `onAnswer` when its answer arrives or cannot
    // arrive any more. `nodes` are the addresses of all nodes, possibly with the own one.
    std::optional<std::string> beginQuestion(const std::set<std::string> &nodes);
    // The question to send to that node.
    SuspectQuestion question() const;
    // Takes over the answer to the last question, nothing if there is none. The result is empty if nothing differed.
    std::optional<Difference> onAnswer(const std::optional<SuspectAnswer> &answer);
    // The answer to the question of another node.
    SuspectAnswer answer(const SuspectQuestion &question) const;

private:
    // The nodes to ask in turn: those that come first in an order of their own for each node.
    std::vector<std::string> choosePartners(const std::set<std::string> &nodes) const;
    std::string chooseNode(const std::set<std::string> &nodes);
    void scheduleNext(Duration interval);

    CrashGuard &m_guard;
    const SuspectExchangeOptions m_options;
    const std::string m_ownAddress;
    const Clock &m_clock;
    RandomEngine m_random;
    TimePoint m_nextQuestion{};
    // End of the pause for the reports of the last exchange that found a difference.
    TimePoint m_pausedUntil{};
    TimePoint m_askedAt{};
    bool m_isAsking = false;
    bool m_lastFailed = false;
    unsigned m_quickQuestionsLeft;
    // Node that is asked for further pages, and the key after which the next one begins.
    std::string m_askedNode;
    std::optional<RequestKey> m_pageStart;
    std::size_t m_reportsOfExchange = 0;
    std::size_t m_turn = 0;
    // Digest after the last call, to notice changes by crashes and reports.
    std::uint64_t m_lastDigest = 0;
};

} // namespace wisteriafork
