#pragma once

#include "core/quota/quotaborrower.h"
#include "core/quota/quotalender.h"
#include "published/simulatedsource.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

namespace wisteriafork {

// Simulates the nodes of a fleet that share the quotas of workspaces, with messages that are lost, nodes that stop, pause and are cut off,
// and a list of nodes that each of them learns late.
class QuotaFleet
{
public:
    struct Options
    {
        unsigned nodes = 12;
        std::uint64_t seed = 1;
        QuotaBounds bounds;
    };

    QuotaFleet(const Options &options, std::vector<Workspace> workspaces)
        : m_options(options), m_random(options.seed), m_workspaces(std::make_shared<const WorkspaceTable>(std::move(workspaces)))
    {
        m_nodes.resize(options.nodes);
        for (Node &node : m_nodes) {
            node.listed = true;
        }
        for (unsigned number = 0; number < options.nodes; ++number) {
            startNode(number);
        }
    }

    // A node that starts reads the list and the configuration.
    void startNode(unsigned number)
    {
        Node &node = m_nodes[number];
        ++node.process;
        node.pausedUntil = {};
        node.ranking = std::make_unique<LenderRanking>();
        node.lender = std::make_unique<QuotaLender>(m_options.bounds, addressOf(number), time.clock);
        node.borrower = std::make_unique<QuotaBorrower>(
            m_options.bounds, QuotaBorrowerOptions{}, addressOf(number), time.clock, *node.ranking,
            [this, number](const std::string &address, const QuotaRequest &request, const QuotaBorrower::ResponseHandler &handler) {
                send(number, numberOf(address), request, handler);
            });
        applyList(node);
        node.lender->setWorkspaces(m_workspaces, *node.ranking);
        node.workspaces = m_workspaces;
        poll(number, node.process);
    }

    void killNode(unsigned number)
    {
        ++m_nodes[number].process;
        m_nodes[number].borrower.reset();
        m_nodes[number].lender.reset();
        expireLater(number);
    }

    void pauseNode(unsigned number, Duration duration)
    {
        m_nodes[number].pausedUntil = time.clock.now() + duration;
        expireLater(number);
    }

    // Cuts the nodes off from the others and from the source of the list, or connects all again if there are none.
    void cutOff(const std::set<unsigned> &numbers)
    {
        ++m_cut;
        for (unsigned number = 0; number < m_nodes.size(); ++number) {
            Node &node = m_nodes[number];
            const bool isCut = numbers.contains(number);
            if (isCut && !node.isCut) {
                node.isCut = true;
                expireLater(number);
                later(number, 900, [this, &node, since = time.clock.now()] {
                    if (node.isCut) {
                        node.lender->onSourceLost(since);
                    }
                });
            } else if (!isCut && node.isCut) {
                node.isCut = false;
                later(number, 500, [this, &node] {
                    if (!node.isCut) {
                        applyList(node);
                        node.lender->onSourceRestored();
                    }
                });
                list(number);
            }
        }
    }

    // Publishes other quotas; each node applies them within the time allowed for a configuration.
    void publish(std::vector<Workspace> workspaces)
    {
        m_workspaces = std::make_shared<const WorkspaceTable>(std::move(workspaces));
        for (unsigned number = 0; number < m_nodes.size(); ++number) {
            later(number, 2500, [this, &node = m_nodes[number]] {
                node.lender->setWorkspaces(m_workspaces, *node.ranking);
                node.workspaces = m_workspaces;
            });
        }
    }

    // Lists a node again after its return.
    void list(unsigned number)
    {
        m_nodes[number].listed = true;
        spreadList();
    }

    // A request of a caller at the node; counted under the time of the admission.
    void request(unsigned number, const std::string &workspaceName)
    {
        Node &node = m_nodes[number];
        if (!node.borrower) {
            return;
        }
        if (time.clock.now() < node.pausedUntil) {
            return;
        }
        const Workspace *workspace = node.workspaces->findByName(workspaceName);
        const auto count = [this, workspaceName](const Verdict &verdict) {
            if (std::holds_alternative<Admit>(verdict)) {
                admitted[workspaceName].push_back(time.clock.now());
            } else {
                ++refused;
            }
        };
        ++requests;
        const Verdict verdict = node.borrower->admit(*workspace, count);
        if (!std::holds_alternative<Pending>(verdict)) {
            count(verdict);
        }
    }

    // Greatest number of admitted requests of a workspace in any window that begins within the given times.
    std::size_t mostInWindow(const std::string &workspace, TimePoint from, TimePoint until)
    {
        const std::vector<TimePoint> &times = admitted[workspace];
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; first < times.size(); ++first) {
            while (last < times.size() && times[last] - times[first] < m_options.bounds.window) {
                ++last;
            }
            most = times[first] >= from && times[first] < until ? std::max(most, last - first) : most;
        }
        return most;
    }

    std::size_t boundOf(const Workspace &workspace) const
    {
        const double seconds = std::chrono::duration<double>(m_options.bounds.window).count();
        return static_cast<std::size_t>((workspace.ratePerSecond * seconds + workspace.burst) * (1.0 + m_options.bounds.overrunShare)
                                        + m_options.bounds.slackRequests);
    }

    // Place of the node that lends for the workspace, by the list.
    unsigned lenderOf(const std::string &workspace)
    {
        LenderRanking ranking;
        ranking.setNodes(listedNodes());
        return numberOf(ranking.placesOf(workspace).lender);
    }

    unsigned random(unsigned below)
    {
        return std::uniform_int_distribution<unsigned>(0, below - 1)(m_random);
    }

    unsigned nodeCount() const
    {
        return m_options.nodes;
    }

    bool isRunning(unsigned number) const
    {
        return m_nodes[number].borrower != nullptr;
    }

    SimulatedTime time;
    std::map<std::string, std::vector<TimePoint>> admitted;
    unsigned requests = 0;
    unsigned refused = 0;

private:
    struct Node
    {
        unsigned process = 0;
        bool listed = false;
        bool isCut = false;
        TimePoint pausedUntil{};
        std::unique_ptr<LenderRanking> ranking;
        std::unique_ptr<QuotaLender> lender;
        std::unique_ptr<QuotaBorrower> borrower;
        std::shared_ptr<const WorkspaceTable> workspaces;
    };

    static std::string addressOf(unsigned number)
    {
        return "node-" + std::to_string(number);
    }

    static unsigned numberOf(const std::string &address)
    {
        return static_cast<unsigned>(std::stoul(address.substr(address.find('-') + 1)));
    }

    std::set<std::string> listedNodes() const
    {
        std::set<std::string> listed;
        for (unsigned number = 0; number < m_nodes.size(); ++number) {
            if (m_nodes[number].listed) {
                listed.insert(addressOf(number));
            }
        }
        return listed;
    }

    void applyList(Node &node)
    {
        node.ranking->setNodes(listedNodes());
        node.lender->updateRoles(*node.ranking);
    }

    // Runs the action in the process of the node, within the time and after its pause.
    void later(unsigned number, unsigned mostMilliseconds, std::function<void()> action)
    {
        time.after(std::chrono::milliseconds(1 + random(mostMilliseconds)),
                   [this, number, process = m_nodes[number].process, action = std::move(action)] { run(number, process, action); });
    }

    void run(unsigned number, unsigned process, const std::function<void()> &action)
    {
        Node &node = m_nodes[number];
        if (node.process != process || !node.borrower) {
            return;
        }
        if (time.clock.now() < node.pausedUntil) {
            time.after(node.pausedUntil - time.clock.now() + std::chrono::milliseconds(1),
                       [this, number, process, action] { run(number, process, action); });
            return;
        }
        action();
    }

    void poll(unsigned number, unsigned process)
    {
        time.after(std::chrono::milliseconds(20), [this, number, process] {
            run(number, process, [this, number, process] {
                m_nodes[number].borrower->tick();
                poll(number, process);
            });
        });
    }

    // The entry of a node without heartbeats expires.
    void expireLater(unsigned number)
    {
        time.after(std::chrono::milliseconds(4500), [this, number, process = m_nodes[number].process, cut = m_cut] {
            Node &node = m_nodes[number];
            const bool isGone = !node.borrower || (node.isCut && cut == m_cut) || time.clock.now() < node.pausedUntil;
            if (isGone && node.listed && process == node.process) {
                node.listed = false;
                spreadList();
            }
        });
    }

    // Nodes with contact to the source learn the list within half a second.
    void spreadList()
    {
        for (unsigned number = 0; number < m_nodes.size(); ++number) {
            later(number, 450, [this, &node = m_nodes[number]] {
                if (!node.isCut) {
                    applyList(node);
                }
            });
        }
    }

    void send(unsigned from, unsigned to, const QuotaRequest &request, const QuotaBorrower::ResponseHandler &handler)
    {
        const auto reaches = [this, from, to] {
            return m_nodes[from].isCut == m_nodes[to].isCut;
        };
        // The answer reaches only the process that has asked.
        const auto deliver = [this, from, process = m_nodes[from].process, handler](const std::optional<QuotaResponse> &response) {
            time.after(std::chrono::milliseconds(1 + random(12)),
                       [this, from, process, handler, response] { run(from, process, [handler, response] { handler(response); }); });
        };
        if (!m_nodes[to].borrower && reaches()) {
            deliver(std::nullopt);
            return;
        }
        if (!reaches()) {
            return;
        }
        later(to, 12, [this, to, request, deliver, reaches] {
            if (reaches()) {
                deliver(m_nodes[to].lender->lend(request));
            }
        });
    }

    const Options m_options;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::shared_ptr<const WorkspaceTable> m_workspaces;
    unsigned m_cut = 0;
};

} // namespace wisteriafork
