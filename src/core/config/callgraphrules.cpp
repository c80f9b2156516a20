#include "core/config/objectreader.h"
#include "core/config/questionnairerules.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace wisteriafork {

namespace {

// Longest call chain that the system is designed for, in services.
constexpr unsigned MaximumChainDepth = 27;

// Searches the call graph depth-first for cycles and long call chains. Does not recurse, so that no questionnaire can exhaust the
// stack.
class CallGraphChecker
{
public:
    CallGraphChecker(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings)
        : m_questionnaire(questionnaire), m_document(document), m_findings(findings)
    {
    }

    void check()
    {
        collectCalls();
        for (std::size_t start = 0; start < m_calls.size(); ++start) {
            if (m_state[start] == State::Unvisited) {
                visitFrom(start);
            }
        }
        if (m_hasCycle) {
            return;
        }
        for (std::size_t service = 0; service < m_calls.size(); ++service) {
            if (m_depth[service] > MaximumChainDepth) {
                report(Severity::Warning, m_questionnaire.services[service].pointer,
                       "the longest chain of calls from here is " + std::to_string(m_depth[service]) + " services deep, more than the "
                           + std::to_string(MaximumChainDepth) + " that the system is made for");
            }
        }
    }

private:
    enum class State : std::uint8_t {
        Unvisited,
        // On the path that is currently searched.
        OnPath,
        // Visited together with all its callees.
        Finished,
    };

    // A call to another service, with the JSON pointer of its first occurrence.
    struct Call
    {
        std::size_t callee;
        std::string pointer;
    };

    // A service on the current path and the index of its call that is followed next.
    struct PathEntry
    {
        std::size_t service;
        std::size_t nextCall;
    };

    void report(Severity severity, std::string pointer, std::string message)
    {
        addFinding(m_findings, m_document, severity, std::move(pointer), std::move(message));
    }

    void collectCalls()
    {
        const std::vector<ServiceAnswers> &services = m_questionnaire.services;
        std::map<std::string, std::size_t> indexById;
        for (std::size_t service = 0; service < services.size(); ++service) {
            indexById.emplace(services[service].id, service);
        }
        m_calls.resize(services.size());
        m_state.resize(services.size(), State::Unvisited);
        m_depth.resize(services.size(), 1);
        for (std::size_t service = 0; service < services.size(); ++service) {
            std::set<std::size_t> knownCallees;
            for (const OperationAnswers &operation : services[service].operations) {
                collectOperationCalls(service, operation, indexById, knownCallees);
            }
        }
    }

    // Adds the callees of one operation that are not yet in `knownCallees`, the callees of the service's earlier operations.
    void collectOperationCalls(std::size_t service, const OperationAnswers &operation, const std::map<std::string, std::size_t> &indexById,
                               std::set<std::size_t> &knownCallees)
    {
        std::set<std::string> namedCallees;
        for (std::size_t index = 0; index < operation.calls.size(); ++index) {
            const std::string &callee = operation.calls[index];
            std::string pointer = childPointer(operation.pointer + "/calls", index);
            const auto found = indexById.find(callee);
            if (found == indexById.end()) {
                report(Severity::Error, std::move(pointer), "calls the unknown service \"" + callee + "\"");
            } else if (!namedCallees.insert(callee).second) {
                report(Severity::Error, std::move(pointer), "the service \"" + callee + "\" is named twice");
            } else if (knownCallees.insert(found->second).second) {
                m_calls[service].push_back({.callee = found->second, .pointer = std::move(pointer)});
            }
        }
    }

    // Visits all services that can be reached from `start` and have not been visited yet.
    void visitFrom(std::size_t start)
    {
        m_path.push_back({.service = start, .nextCall = 0});
        m_state[start] = State::OnPath;
        while (!m_path.empty()) {
            PathEntry &entry = m_path.back();
            if (entry.nextCall == m_calls[entry.service].size()) {
                finishVisit(entry.service);
                continue;
            }
            const Call &call = m_calls[entry.service][entry.nextCall++];
            if (m_state[call.callee] == State::OnPath) {
                reportCycle(call);
            } else if (m_state[call.callee] == State::Unvisited) {
                m_state[call.callee] = State::OnPath;
                m_path.push_back({.service = call.callee, .nextCall = 0});
            }
        }
    }

    // Removes a service from the path after all its callees were visited, and computes its depth.
    void finishVisit(std::size_t service)
    {
        for (const Call &call : m_calls[service]) {
            m_depth[service] = std::max(m_depth[service], m_depth[call.callee] + 1);
        }
        m_state[service] = State::Finished;
        m_path.pop_back();
    }

    // Reports the cycle that a call to a service on the current path closes.
    void reportCycle(const Call &call)
    {
        m_hasCycle = true;
        std::string text;
        const auto cycleStart
            = std::find_if(m_path.begin(), m_path.end(), [&](const PathEntry &entry) { return entry.service == call.callee; });
        for (auto entry = cycleStart; entry != m_path.end(); ++entry) {
            text += m_questionnaire.services[entry->service].id + " -> ";
        }
        report(Severity::Error, call.pointer, "calls form a cycle: " + text + m_questionnaire.services[call.callee].id);
    }

    const Questionnaire &m_questionnaire;
    const LocatedJson &m_document;
    Findings &m_findings;
    // Indexed by service, like `m_state` and `m_depth`.
    std::vector<std::vector<Call>> m_calls;
    std::vector<State> m_state;
    // Number of services on the longest call chain that starts at each service, itself included.
    std::vector<unsigned> m_depth;
    std::vector<PathEntry> m_path;
    bool m_hasCycle = false;
};

} // namespace

void checkCallGraph(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings)
{
    CallGraphChecker(questionnaire, document, findings).check();
}

} // namespace wisteriafork
