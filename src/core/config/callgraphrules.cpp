#include "core/config/objectreader.h"
#include "core/config/questionnairerules.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace wisteriafork {

namespace {

// Depth of the deepest chains that the design is made for.
constexpr unsigned DeepestChain = 27;

// Walks the graph of services in depth-first order without recursion, so that no questionnaire can exhaust the stack.
class CallGraph
{
public:
    CallGraph(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings)
        : m_questionnaire(questionnaire), m_document(document), m_findings(findings)
    {
    }

    void check()
    {
        collectCalls();
        for (std::size_t start = 0; start < m_calls.size(); ++start) {
            if (m_state[start] == State::New) {
                walk(start);
            }
        }
        if (m_hasCycle) {
            return;
        }
        for (std::size_t service = 0; service < m_calls.size(); ++service) {
            if (m_depth[service] > DeepestChain) {
                report(Severity::Warning, m_questionnaire.services[service].pointer,
                       "the longest chain of calls from here is " + std::to_string(m_depth[service]) + " services deep, more than the "
                           + std::to_string(DeepestChain) + " that the system is made for");
            }
        }
    }

private:
    enum class State : std::uint8_t {
        New,
        Open,
        Done,
    };

    struct Call
    {
        std::size_t callee;
        std::string pointer;
    };

    struct Step
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
        std::map<std::string, std::size_t> positions;
        for (std::size_t service = 0; service < services.size(); ++service) {
            positions.emplace(services[service].id, service);
        }
        m_calls.resize(services.size());
        m_state.resize(services.size(), State::New);
        m_depth.resize(services.size(), 1);
        for (std::size_t service = 0; service < services.size(); ++service) {
            std::set<std::size_t> known;
            for (const OperationAnswers &operation : services[service].operations) {
                collectCallsOf(service, operation, positions, known);
            }
        }
    }

    void collectCallsOf(std::size_t service, const OperationAnswers &operation, const std::map<std::string, std::size_t> &positions,
                        std::set<std::size_t> &known)
    {
        std::set<std::string> named;
        for (std::size_t index = 0; index < operation.calls.size(); ++index) {
            const std::string &callee = operation.calls[index];
            std::string pointer = childPointer(operation.pointer + "/calls", index);
            const auto found = positions.find(callee);
            if (found == positions.end()) {
                report(Severity::Error, std::move(pointer), "calls the unknown service \"" + callee + "\"");
            } else if (!named.insert(callee).second) {
                report(Severity::Error, std::move(pointer), "the service \"" + callee + "\" is named twice");
            } else if (known.insert(found->second).second) {
                m_calls[service].push_back({.callee = found->second, .pointer = std::move(pointer)});
            }
        }
    }

    void walk(std::size_t start)
    {
        m_path.push_back({.service = start, .nextCall = 0});
        m_state[start] = State::Open;
        while (!m_path.empty()) {
            Step &step = m_path.back();
            if (step.nextCall == m_calls[step.service].size()) {
                leave(step.service);
                continue;
            }
            const Call &call = m_calls[step.service][step.nextCall++];
            if (m_state[call.callee] == State::Open) {
                reportCycle(call);
            } else if (m_state[call.callee] == State::New) {
                m_state[call.callee] = State::Open;
                m_path.push_back({.service = call.callee, .nextCall = 0});
            }
        }
    }

    void leave(std::size_t service)
    {
        for (const Call &call : m_calls[service]) {
            m_depth[service] = std::max(m_depth[service], m_depth[call.callee] + 1);
        }
        m_state[service] = State::Done;
        m_path.pop_back();
    }

    void reportCycle(const Call &call)
    {
        m_hasCycle = true;
        std::string text;
        const auto first = std::find_if(m_path.begin(), m_path.end(), [&](const Step &step) { return step.service == call.callee; });
        for (auto step = first; step != m_path.end(); ++step) {
            text += m_questionnaire.services[step->service].id + " -> ";
        }
        report(Severity::Error, call.pointer, "calls form a cycle: " + text + m_questionnaire.services[call.callee].id);
    }

    const Questionnaire &m_questionnaire;
    const LocatedJson &m_document;
    Findings &m_findings;
    std::vector<std::vector<Call>> m_calls;
    std::vector<State> m_state;
    std::vector<unsigned> m_depth;
    std::vector<Step> m_path;
    bool m_hasCycle = false;
};

} // namespace

void checkCallGraph(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings)
{
    CallGraph(questionnaire, document, findings).check();
}

} // namespace wisteriafork
