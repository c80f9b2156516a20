#include "core/config/questionnairerules.h"

#include "core/config/objectreader.h"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

namespace wisteriafork {

namespace {

bool changesData(Purpose purpose)
{
    return purpose == Purpose::Booking || purpose == Purpose::Order || purpose == Purpose::Repair || purpose == Purpose::Update;
}

// Whether operations with this purpose are critical whatever their importance.
bool isShedLast(Purpose purpose)
{
    return changesData(purpose) && purpose != Purpose::Update;
}

// Applies the rules of `checkAnswers` and appends findings.
class AnswerChecker
{
public:
    AnswerChecker(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings)
        : m_questionnaire(questionnaire), m_document(document), m_findings(findings)
    {
    }

    void check()
    {
        checkUniqueNames();
        checkServicePaths();
        for (const ServiceAnswers &service : m_questionnaire.services) {
            checkService(service);
            checkOperationPaths(service);
            for (const OperationAnswers &operation : service.operations) {
                checkConsistency(operation);
                checkTargetLatency(operation);
            }
        }
    }

private:
    void reportError(std::string pointer, std::string message)
    {
        addFinding(m_findings, m_document, Severity::Error, std::move(pointer), std::move(message));
    }

    void reportWarning(std::string pointer, std::string message)
    {
        addFinding(m_findings, m_document, Severity::Warning, std::move(pointer), std::move(message));
    }

    // Reports each name that an earlier element has. `nameAndPointerAt` returns the name and the JSON pointer of the element at an index.
    void checkUnique(std::size_t count, const std::function<std::pair<std::string, std::string>(std::size_t)> &nameAndPointerAt)
    {
        std::map<std::string, std::string> firstUses;
        for (std::size_t index = 0; index < count; ++index) {
            auto [name, pointer] = nameAndPointerAt(index);
            if (name.empty()) {
                continue;
            }
            const auto [firstUse, isNew] = firstUses.emplace(std::move(name), pointer);
            if (!isNew) {
                reportError(pointer, "\"" + firstUse->first + "\" is already used at " + firstUse->second);
            }
        }
    }

    void checkUniqueNames()
    {
        const Questionnaire &answers = m_questionnaire;
        checkUnique(answers.failureDomains.size(), [&](std::size_t index) {
            return std::make_pair(answers.failureDomains[index], childPointer("/failureDomains", index));
        });
        checkUnique(answers.workspaces.size(), [&](std::size_t index) {
            return std::make_pair(answers.workspaces[index].value(), childPointer("/workspaces", index));
        });
        checkUnique(answers.services.size(),
                    [&](std::size_t index) { return std::make_pair(answers.services[index].id, answers.services[index].pointer + "/id"); });
        for (const ServiceAnswers &service : answers.services) {
            checkUnique(service.operations.size(), [&](std::size_t index) {
                return std::make_pair(service.operations[index].id, service.operations[index].pointer + "/id");
            });
        }
    }

    // Reports path prefixes that overlap: a request whose path matches two services could be sent to the wrong one.
    void checkServicePaths()
    {
        std::vector<const ServiceAnswers *> sortedServices;
        for (const ServiceAnswers &service : m_questionnaire.services) {
            if (!service.pathPrefix.empty()) {
                sortedServices.push_back(&service);
            }
        }
        std::stable_sort(sortedServices.begin(), sortedServices.end(),
                         [](const ServiceAnswers *first, const ServiceAnswers *second) { return first->pathPrefix < second->pathPrefix; });
        // Services whose path prefix is a prefix of the current one, the longest last. Each service is reported once at most, so that there
        // are no more findings than services.
        std::vector<const ServiceAnswers *> enclosingServices;
        for (const ServiceAnswers *service : sortedServices) {
            while (!enclosingServices.empty() && !service->pathPrefix.starts_with(enclosingServices.back()->pathPrefix)) {
                enclosingServices.pop_back();
            }
            if (!enclosingServices.empty()) {
                reportError(service->pointer + "/pathPrefix",
                            "overlaps with the path prefix \"" + enclosingServices.back()->pathPrefix + "\" of the service \""
                                + enclosingServices.back()->id + "\"");
            }
            enclosingServices.push_back(service);
        }
    }

    void checkService(const ServiceAnswers &service)
    {
        if (service.connections < service.slots) {
            reportError(service.pointer + "/connections",
                        "fewer connections (" + std::to_string(service.connections) + ") than slots (" + std::to_string(service.slots)
                            + "): slots could never fill");
        }
        if (service.instances == 1) {
            reportWarning(service.pointer + "/instances", "with one instance, nothing answers for the service while it restarts");
        }
    }

    // A request belongs to the operation with its method and the longest matching prefix, so two operations with the same method and prefix
    // are ambiguous.
    void checkOperationPaths(const ServiceAnswers &service)
    {
        std::vector<const OperationAnswers *> sortedOperations;
        for (const OperationAnswers &operation : service.operations) {
            if (operation.pathPrefix.empty() || operation.method.empty()) {
                continue;
            }
            if (!operation.pathPrefix.starts_with(service.pathPrefix)) {
                reportError(operation.pointer + "/pathPrefix",
                            "must begin with the path prefix of its service, \"" + service.pathPrefix + "\"");
            }
            sortedOperations.push_back(&operation);
        }
        std::stable_sort(sortedOperations.begin(), sortedOperations.end(),
                         [](const OperationAnswers *first, const OperationAnswers *second) {
                             return std::tie(first->method, first->pathPrefix) < std::tie(second->method, second->pathPrefix);
                         });
        for (std::size_t index = 1; index < sortedOperations.size(); ++index) {
            const OperationAnswers &previous = *sortedOperations[index - 1];
            const OperationAnswers &current = *sortedOperations[index];
            if (previous.method == current.method && previous.pathPrefix == current.pathPrefix) {
                reportError(current.pointer + "/pathPrefix",
                            "overlaps: same method and path prefix as the operation \"" + previous.id + "\"");
            }
        }
    }

    // Reports contradictions between purpose, method, importance and idempotence.
    void checkConsistency(const OperationAnswers &operation)
    {
        if (!operation.idempotent && !changesData(operation.purpose)) {
            reportError(operation.pointer + "/idempotent", "an operation that only reads must be idempotent");
        }
        if (!operation.idempotent && (operation.method == "GET" || operation.method == "HEAD")) {
            reportError(operation.pointer + "/method",
                        "a " + operation.method + " request must be idempotent, since any client may repeat it");
        }
        if (!operation.idempotent && operation.importance != Importance::High) {
            reportError(operation.pointer + "/importance",
                        "an operation that is not idempotent must be of high importance: a request that is refused may not be sent again");
        } else if (isShedLast(operation.purpose) && operation.importance != Importance::High) {
            reportWarning(operation.pointer + "/importance", "bookings, orders and repairs are shed last, whatever their importance");
        }
        if (operation.idempotent && !changesData(operation.purpose) && operation.importance == Importance::High) {
            reportWarning(operation.pointer + "/importance", "reads are shed before bookings and orders, whatever their importance");
        }
    }

    void checkTargetLatency(const OperationAnswers &operation)
    {
        if (operation.targetLatency > operation.callersWait) {
            reportError(operation.pointer + "/targetLatencyMs",
                        "the target (" + std::to_string(operation.targetLatency.count()) + " ms) is longer than callers wait ("
                            + std::to_string(operation.callersWait.count()) + " ms)");
        }
    }

    const Questionnaire &m_questionnaire;
    const LocatedJson &m_document;
    Findings &m_findings;
};

} // namespace

void checkAnswers(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings)
{
    AnswerChecker(questionnaire, document, findings).check();
}

} // namespace wisteriafork
