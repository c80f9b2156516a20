#pragma once

#include "simulatedsource.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace wisteriafork {

// Simulates the nodes of a fleet that keep the published state up to date: each one reads the source or asks others, and all of them send
// each other messages, as calls between services do.
class SyncFleet
{
public:
    struct Options
    {
        unsigned nodes = 300;
        unsigned domains = 6;
        std::uint64_t seed = 1;
        PublishedSyncOptions sync;
        // Messages between random nodes that carry revisions, for each node and second. 0: the fleet has no traffic.
        double messagesPerSecond = 10.0;
        // The instances are listed before the nodes start, which saves time with many nodes.
        bool listedAtStart = false;
    };

    explicit SyncFleet(const Options &options) : m_options(options), m_random(options.seed)
    {
        for (unsigned number = 0; number < options.nodes; ++number) {
            m_nodes.push_back(std::make_unique<Node>());
            m_nodes.back()->number = number;
        }
    }

    ~SyncFleet()
    {
        for (const auto &node : m_nodes) {
            ++node->process;
        }
    }

    SyncFleet(const SyncFleet &) = delete;
    SyncFleet &operator=(const SyncFleet &) = delete;

    // Starts all nodes within 0.3 s and registers their instances.
    void start()
    {
        source.put(FeedId::Configuration, "configuration", "1");
        for (const auto &node : m_nodes) {
            time.after(randomTime(0, 300), [this, &entry = *node] { startNode(entry.number); });
            time.after(m_options.listedAtStart ? Duration(0) : randomTime(300, 1200),
                       [this, &entry = *node] { source.put(FeedId::Instances, keyOf(entry.number), "ready"); });
        }
    }

    void startNode(unsigned number)
    {
        Node &node = *m_nodes[number];
        ++node.process;
        node.frozenUntil = {};
        node.applied = {};
        node.removedAt.clear();
        node.sync.reset();
        node.sync = std::make_unique<PublishedSync>(m_options.sync, addressOf(number), time.clock, time.clock, m_random, callbacksOf(node));
        repeat(node, std::chrono::milliseconds(100), [&node] { node.sync->tick(); });
        if (m_options.messagesPerSecond > 0) {
            repeat(node, fromSecondsOf(1.0 / m_options.messagesPerSecond), [this, &node] { sendMessage(node); });
        }
    }

    void killNode(unsigned number)
    {
        ++m_nodes[number]->process;
        m_nodes[number]->sync.reset();
    }

    void freezeNode(unsigned number, Duration duration)
    {
        m_nodes[number]->frozenUntil = time.clock.now() + duration;
    }

    // Access of one node to the source; the state of the source itself applies as well.
    void setAccess(unsigned number, SimulatedSource::State state)
    {
        m_nodes[number]->access = state;
    }

    // Messages that the node sends are lost, or those that it should receive.
    void cutOff(unsigned number, bool sending, bool receiving)
    {
        m_nodes[number]->losesSent = sending;
        m_nodes[number]->losesReceived = receiving;
    }

    bool isRunning(unsigned number) const
    {
        return m_nodes[number]->sync != nullptr;
    }

    // Nodes that read the source themselves.
    std::vector<unsigned> readers() const
    {
        std::vector<unsigned> reading;
        for (const auto &node : m_nodes) {
            if (node->sync && node->sync->isReading()) {
                reading.push_back(node->number);
            }
        }
        return reading;
    }

    // Running nodes, other than those given, whose state differs from the source.
    std::vector<unsigned> staleNodes(const std::set<unsigned> &excluded = {}) const
    {
        std::vector<unsigned> stale;
        for (const auto &node : m_nodes) {
            if (!node->sync || excluded.contains(node->number)) {
                continue;
            }
            for (std::size_t feed = 0; feed < FeedCount; ++feed) {
                if (!equals(node->applied[feed], source.content(static_cast<FeedId>(feed)))) {
                    stale.push_back(node->number);
                    break;
                }
            }
        }
        return stale;
    }

    // All nodes with listed instances, in the order in which they read the source.
    std::vector<unsigned> ranking() const
    {
        std::vector<unsigned> nodes;
        for (const std::string &address : rankReaders(candidatesIn(source.content(FeedId::Instances), std::nullopt))) {
            nodes.push_back(numberOf(address));
        }
        return nodes;
    }

    // Greatest age of the proof of a running node that its configuration is the newest one; nodes without one count from the start.
    Duration oldestProof() const
    {
        Duration oldest{0};
        for (const auto &node : m_nodes) {
            oldest = node->sync ? std::max<Duration>(oldest, time.clock.now() - node->confirmedAt) : oldest;
        }
        return oldest;
    }

    // Version of the configuration that a node has applied; 0 if it has none.
    unsigned long configurationOf(unsigned number) const
    {
        const auto &applied = m_nodes[number]->applied[static_cast<std::size_t>(FeedId::Configuration)];
        const auto found = applied.find("configuration");
        return found == applied.end() ? 0 : std::stoul(found->second.value);
    }

    unsigned nodeCount() const
    {
        return m_options.nodes;
    }

    static std::string keyOf(unsigned number)
    {
        return "instance-" + std::to_string(number);
    }

    SimulatedTime time;
    SimulatedSource source{time};
    // Calls to the source, cheap reads of the list of candidates apart, and the most within one second.
    unsigned calls = 0;
    unsigned candidateReads = 0;
    unsigned mostCallsPerSecond = 0;
    // Keys that returned after their removal, and versions that went back.
    unsigned regressions = 0;
    // Keys that must not return although a copy of the source contains them.
    std::set<std::string> goneForGood;
    // Proofs of nodes that did not know the configuration of the time that the proof names.
    unsigned falseProofs = 0;

private:
    static constexpr auto CallTime = std::chrono::milliseconds(5);
    static constexpr auto MessageTime = std::chrono::milliseconds(2);
    static constexpr auto CallTimeout = std::chrono::milliseconds(800);
    // Greatest time after which a sender notices that its peer is silent: three ping intervals of a session.
    static constexpr auto SilenceTimeout = std::chrono::milliseconds(900);

    struct Node
    {
        unsigned number = 0;
        // Number of the process; actions of earlier ones are dropped.
        unsigned process = 0;
        std::unique_ptr<PublishedSync> sync;
        TimePoint frozenUntil{};
        SimulatedSource::State access = SimulatedSource::State::Up;
        bool losesSent = false;
        bool losesReceived = false;
        unsigned readingRun = 0;
        unsigned failures = 0;
        TimePoint confirmedAt{};
        std::array<std::map<std::string, PublishedChange>, FeedCount> applied;
        std::map<std::string, std::uint64_t> removedAt;
    };

    static Duration fromSecondsOf(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    Duration randomTime(int least, int most)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(least, most)(m_random));
    }

    std::string domainOf(unsigned number) const
    {
        return std::to_string(number % m_options.domains);
    }

    static std::string addressOf(unsigned number)
    {
        return "node-" + std::to_string(number);
    }

    static bool equals(const std::map<std::string, PublishedChange> &left, const std::map<std::string, PublishedChange> &right)
    {
        return std::ranges::equal(left, right, [](const auto &first, const auto &second) {
            return first.first == second.first && first.second.revision == second.second.revision;
        });
    }

    // Runs the action in the process of the node: after its freeze, or never if the process has ended.
    void runIn(Node &node, unsigned process, std::function<void()> action)
    {
        if (node.process != process || !node.sync) {
            return;
        }
        if (time.clock.now() < node.frozenUntil) {
            time.after(node.frozenUntil - time.clock.now() + std::chrono::milliseconds(1),
                       [this, &node, process, action = std::move(action)] { runIn(node, process, action); });
            return;
        }
        action();
    }

    void repeat(Node &node, Duration interval, const std::function<void()> &action)
    {
        time.after(interval, [this, &node, interval, action, process = node.process] {
            runIn(node, process, [this, &node, interval, action] {
                action();
                repeat(node, interval, action);
            });
        });
    }

    void sendMessage(Node &from)
    {
        Node &to = *m_nodes[std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random)];
        if (&to == &from || !to.sync || from.losesSent || to.losesReceived) {
            return;
        }
        time.after(MessageTime, [this, &from, &to, process = to.process, revisions = from.sync->seenRevisions()] {
            runIn(to, process, [&from, &to, revisions] { to.sync->onRevisionsSeen(addressOf(from.number), revisions); });
        });
    }

    PublishedSync::Callbacks callbacksOf(Node &node)
    {
        PublishedSync::Callbacks callbacks;
        callbacks.sendRequest
            = [this, &node](const std::string &address, const ChangesRequest &request, const PublishedSync::ResponseHandler &handler) {
                  sendRequest(node, address, request, handler);
              };
        callbacks.setReading = [this, &node](bool reading) {
            const unsigned run = ++node.readingRun;
            for (std::size_t feed = 0; reading && feed < FeedCount; ++feed) {
                node.failures = 0;
                const auto id = static_cast<FeedId>(feed);
                follow(node, run, id, node.sync->feed(id).completeRevision() == 0, Duration(0));
            }
        };
        callbacks.onReaderChanged = [](const std::string &, ReaderState) {
        };
        callbacks.readCandidates = [this, &node] {
            ++candidateReads;
            if (accessOf(node) == SimulatedSource::State::Up) {
                time.after(CallTime, [this, &node, process = node.process] {
                    runIn(node, process, [this, &node] { setCandidates(node, source.content(FeedId::Instances)); });
                });
            }
        };
        callbacks.onChanged = [this, &node](FeedId feed, const std::vector<PublishedChange> &changes) {
            apply(node, feed, changes);
        };
        callbacks.mayReplace = [](const PublishedChange &knownItem, const PublishedChange &copied) {
            const bool isConfiguration = copied.key == "configuration";
            return !knownItem.removed
                && (isConfiguration ? std::stoul(copied.value) > std::stoul(knownItem.value) : knownItem.value != "draining");
        };
        callbacks.onSourceLost = [](TimePoint) {
        };
        callbacks.onSourceRestored = [] {
        };
        callbacks.onRemovalsHeld = [](Duration) {
        };
        callbacks.removalHoldTime = [] {
            return Duration(0);
        };
        callbacks.confirmSource = [this, &node] {
            confirmSource(node);
        };
        callbacks.onConfirmed = [this, &node](TimePoint confirmedAt) {
            node.confirmedAt = confirmedAt;
            const std::uint64_t known = node.sync->feed(FeedId::Configuration).lastChangeRevision();
            falseProofs += known < source.lastChangeBefore(FeedId::Configuration, confirmedAt) ? 1 : 0;
        };
        return callbacks;
    }

    // A watch of the configuration that does not wait.
    void confirmSource(Node &node)
    {
        countCall();
        if (accessOf(node) != SimulatedSource::State::Up) {
            return;
        }
        const std::uint64_t known = node.sync->feed(FeedId::Configuration).completeRevision();
        source.watch(FeedId::Configuration, known, Duration(0),
                     [this, &node, askedAt = time.clock.now(), process = node.process](const SimulatedSource::Result &result) {
                         time.after(CallTime, [this, &node, askedAt, process, result] {
                             runIn(node, process, [&node, askedAt, result] {
                                 if (!result.historyLost && result.era == node.sync->feed(FeedId::Configuration).era()) {
                                     node.sync->onSourceContact(FeedId::Configuration);
                                     node.sync->onSourceChanges(FeedId::Configuration, result.changes, result.revision);
                                     node.sync->onSourceConfirmed(askedAt);
                                 }
                             });
                         });
                     });
    }

    // Number of a node from its address or the key of its instance.
    static unsigned numberOf(const std::string &name)
    {
        return static_cast<unsigned>(std::stoul(name.substr(name.find('-') + 1)));
    }

    // Nodes beside the instances of the failure domain, or of all.
    std::vector<ReaderCandidate> candidatesIn(const std::map<std::string, PublishedChange> &instances,
                                              const std::optional<std::string> &domain) const
    {
        std::vector<ReaderCandidate> candidates;
        for (const auto &[key, item] : instances) {
            const unsigned number = numberOf(key);
            if (!domain || domainOf(number) == *domain) {
                candidates.push_back({.id = key, .peerAddress = addressOf(number)});
            }
        }
        return candidates;
    }

    void setCandidates(Node &node, const std::map<std::string, PublishedChange> &instances)
    {
        node.sync->setCandidates(candidatesIn(instances, domainOf(node.number)));
    }

    void apply(Node &node, FeedId feed, const std::vector<PublishedChange> &changes)
    {
        auto &applied = node.applied[static_cast<std::size_t>(feed)];
        for (const PublishedChange &change : changes) {
            const auto known = applied.find(change.key);
            if (change.removed) {
                node.removedAt[change.key] = change.revision;
                applied.erase(change.key);
                continue;
            }
            const auto removed = node.removedAt.find(change.key);
            const bool goesBack = known != applied.end() && known->second.revision > change.revision;
            const bool returns = removed != node.removedAt.end() && change.revision < removed->second;
            if (source.era() > 0) {
                // Revisions of different eras cannot be compared, but the versions of the configuration can.
                regressions += known != applied.end() && feed == FeedId::Configuration
                    && std::stoul(known->second.value) > std::stoul(change.value);
                regressions += goneForGood.contains(change.key) ? 1 : 0;
            } else {
                regressions += goesBack || returns ? 1 : 0;
            }
            applied[change.key] = change;
        }
        if (feed == FeedId::Instances) {
            setCandidates(node, applied);
        }
    }

    void sendRequest(Node &from, const std::string &address, const ChangesRequest &request, const PublishedSync::ResponseHandler &handler)
    {
        Node &to = *m_nodes[numberOf(address)];
        const auto answered = std::make_shared<bool>(false);
        const auto deliver = [this, &from, answered, handler, process = from.process](std::optional<ChangesResponse> response) {
            if (!std::exchange(*answered, true)) {
                runIn(from, process, [handler, response = std::move(response)] { handler(response); });
            }
        };
        if (!to.sync) {
            time.after(MessageTime, [deliver] { deliver(std::nullopt); });
            return;
        }
        watchLiveness(from, to, to.process, answered, deliver);
        if (from.losesSent || to.losesReceived) {
            return;
        }
        time.after(MessageTime, [this, &from, &to, request, deliver, process = to.process] {
            runIn(to, process, [this, &from, &to, request, deliver] {
                to.sync->onRequest(request, [this, &from, &to, deliver](const ChangesResponse &response) {
                    if (!to.losesSent && !from.losesReceived) {
                        time.after(MessageTime, [deliver, response] { deliver(response); });
                    }
                });
            });
        });
    }

    // Ends the exchange without an answer when the receiver has been silent for the time-out: stopped, frozen or cut off.
    void watchLiveness(Node &from, Node &to, unsigned process, const std::shared_ptr<bool> &answered,
                       const std::function<void(std::optional<ChangesResponse>)> &deliver)
    {
        time.after(SilenceTimeout, [this, &from, &to, process, answered, deliver] {
            if (*answered) {
                return;
            }
            const bool silent = !to.sync || to.process != process || time.clock.now() < to.frozenUntil || to.losesSent || to.losesReceived
                || from.losesSent || from.losesReceived;
            if (silent) {
                deliver(std::nullopt);
            } else {
                watchLiveness(from, to, process, answered, deliver);
            }
        });
    }

    SimulatedSource::State accessOf(const Node &node) const
    {
        return source.state != SimulatedSource::State::Up ? source.state : node.access;
    }

    void countCall()
    {
        ++calls;
        m_callTimes.push_back(time.clock.now());
        while (time.clock.now() - m_callTimes.front() > std::chrono::seconds(1)) {
            m_callTimes.pop_front();
        }
        mostCallsPerSecond = std::max(mostCallsPerSecond, static_cast<unsigned>(m_callTimes.size()));
    }

    // Readers that ask for proofs let the watch of the configuration wait longer.
    Duration watchTime(FeedId feed)
    {
        const bool isLong = feed == FeedId::Configuration && m_options.sync.confirmationInterval > Duration(0);
        return isLong ? randomTime(8000, 12000) : randomTime(3000, 4000);
    }

    // Reads or watches one feed of the source, and goes on until the run ends.
    void follow(Node &node, unsigned run, FeedId feed, bool readWhole, Duration wait)
    {
        countCall();
        const unsigned process = node.process;
        const auto next = [this, &node, run, feed, process](Duration delay, bool whole, Duration nextWait) {
            time.after(delay, [this, &node, run, feed, process, whole, nextWait] {
                runIn(node, process, [this, &node, run, feed, whole, nextWait] {
                    if (node.readingRun == run) {
                        follow(node, run, feed, whole, nextWait);
                    }
                });
            });
        };
        const auto fail = [this, &node, run, feed, process, next, readWhole] {
            runIn(node, process, [this, &node, run, feed, next, readWhole] {
                if (node.readingRun == run) {
                    node.sync->onSourceFailed(feed);
                    next(std::min(std::chrono::milliseconds(800), std::chrono::milliseconds(100) * (1U << std::min(node.failures++, 3U))),
                         readWhole, Duration(0));
                }
            });
        };
        const auto succeed = [this, &node, run, feed, process, next, readWhole,
                              askedAt = time.clock.now()](const SimulatedSource::Result &result) {
            runIn(node, process, [this, &node, run, feed, next, readWhole, askedAt, result] {
                if (node.readingRun != run) {
                    return;
                }
                const bool isOtherEra = !readWhole && result.era != node.sync->feed(feed).era();
                if (result.historyLost || isOtherEra) {
                    next(randomTime(0, 200), true, Duration(0));
                    return;
                }
                node.failures = 0;
                node.sync->onSourceContact(feed);
                if (readWhole) {
                    node.sync->onSourceRead(feed, result.changes, result.revision, result.era);
                } else {
                    node.sync->onSourceChanges(feed, result.changes, result.revision);
                }
                if (feed == FeedId::Configuration) {
                    node.sync->onSourceConfirmed(askedAt);
                }
                next(result.changes.empty() || readWhole ? Duration(0) : Duration(std::chrono::milliseconds(500)), false, watchTime(feed));
            });
        };
        switch (accessOf(node)) {
        case SimulatedSource::State::Refusing:
            time.after(CallTime, fail);
            return;
        case SimulatedSource::State::Silent:
            time.after(wait + CallTimeout, fail);
            return;
        case SimulatedSource::State::Up:
            break;
        }
        if (readWhole) {
            time.after(CallTime, [this, feed, succeed] { succeed(source.readAll(feed)); });
            return;
        }
        const auto responded = std::make_shared<bool>(false);
        source.watch(feed, node.sync->feed(feed).completeRevision(), wait,
                     [this, &node, responded, succeed](const SimulatedSource::Result &result) {
                         if (accessOf(node) == SimulatedSource::State::Up) {
                             *responded = true;
                             time.after(CallTime, [succeed, result] { succeed(result); });
                         }
                     });
        time.after(wait + CallTimeout, [responded, fail] {
            if (!*responded) {
                fail();
            }
        });
    }

    const Options m_options;
    RandomEngine m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::deque<TimePoint> m_callTimes;
};

} // namespace wisteriafork
