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

bool isShedLast(Purpose purpose)
{
    return changesData(purpose) && purpose != Purpose::Update;
}

class AnswerRules
{
public:
    AnswerRules(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings)
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
                checkMeaning(operation);
                checkTimes(operation);
            }
        }
    }

private:
    void error(std::string pointer, std::string message)
    {
        addFinding(m_findings, m_document, Severity::Error, std::move(pointer), std::move(message));
    }

    void warn(std::string pointer, std::string message)
    {
        addFinding(m_findings, m_document, Severity::Warning, std::move(pointer), std::move(message));
    }

    // Reports each name that occurred before. `nameOf` gives the name and the pointer of an element by its position.
    void checkUnique(std::size_t count, const std::function<std::pair<std::string, std::string>(std::size_t)> &nameOf)
    {
        std::map<std::string, std::string> seen;
        for (std::size_t index = 0; index < count; ++index) {
            auto [name, pointer] = nameOf(index);
            if (name.empty()) {
                continue;
            }
            const auto [first, isNew] = seen.emplace(std::move(name), pointer);
            if (!isNew) {
                error(pointer, "\"" + first->first + "\" is already used at " + first->second);
            }
        }
    }

    void checkUniqueNames()
    {
        const Questionnaire &all = m_questionnaire;
        checkUnique(all.failureDomains.size(),
                    [&](std::size_t index) { return std::make_pair(all.failureDomains[index], childPointer("/failureDomains", index)); });
        checkUnique(all.workspaces.size(),
                    [&](std::size_t index) { return std::make_pair(all.workspaces[index].value(), childPointer("/workspaces", index)); });
        checkUnique(all.services.size(),
                    [&](std::size_t index) { return std::make_pair(all.services[index].id, all.services[index].pointer + "/id"); });
        for (const ServiceAnswers &service : all.services) {
            checkUnique(service.operations.size(), [&](std::size_t index) {
                return std::make_pair(service.operations[index].id, service.operations[index].pointer + "/id");
            });
        }
    }

    // A path that leads to two services would send requests to the wrong one.
    void checkServicePaths()
    {
        std::vector<const ServiceAnswers *> ordered;
        for (const ServiceAnswers &service : m_questionnaire.services) {
            if (!service.pathPrefix.empty()) {
                ordered.push_back(&service);
            }
        }
        std::stable_sort(ordered.begin(), ordered.end(),
                         [](const ServiceAnswers *first, const ServiceAnswers *second) { return first->pathPrefix < second->pathPrefix; });
        // Prefixes of the current path, the longest last. Each path is reported once, so that there are no more findings than services.
        std::vector<const ServiceAnswers *> open;
        for (const ServiceAnswers *service : ordered) {
            while (!open.empty() && !service->pathPrefix.starts_with(open.back()->pathPrefix)) {
                open.pop_back();
            }
            if (!open.empty()) {
                error(service->pointer + "/pathPrefix",
                      "overlaps with the path prefix \"" + open.back()->pathPrefix + "\" of the service \"" + open.back()->id + "\"");
            }
            open.push_back(service);
        }
    }

    void checkService(const ServiceAnswers &service)
    {
        if (service.connections < service.slots) {
            error(service.pointer + "/connections",
                  "fewer connections (" + std::to_string(service.connections) + ") than slots (" + std::to_string(service.slots)
                      + "): slots could never fill");
        }
        if (service.instances == 1) {
            warn(service.pointer + "/instances", "with one instance, nothing answers for the service while it restarts");
        }
    }

    // Among operations of a method, the longest prefix wins. Equal prefixes have no winner.
    void checkOperationPaths(const ServiceAnswers &service)
    {
        std::vector<const OperationAnswers *> ordered;
        for (const OperationAnswers &operation : service.operations) {
            if (operation.pathPrefix.empty() || operation.method.empty()) {
                continue;
            }
            if (!operation.pathPrefix.starts_with(service.pathPrefix)) {
                error(operation.pointer + "/pathPrefix", "must begin with the path prefix of its service, \"" + service.pathPrefix + "\"");
            }
            ordered.push_back(&operation);
        }
        std::stable_sort(ordered.begin(), ordered.end(), [](const OperationAnswers *first, const OperationAnswers *second) {
            return std::tie(first->method, first->pathPrefix) < std::tie(second->method, second->pathPrefix);
        });
        for (std::size_t index = 1; index < ordered.size(); ++index) {
            const OperationAnswers &former = *ordered[index - 1];
            const OperationAnswers &latter = *ordered[index];
            if (former.method == latter.method && former.pathPrefix == latter.pathPrefix) {
                error(latter.pointer + "/pathPrefix", "overlaps: same method and path prefix as the operation \"" + former.id + "\"");
            }
        }
    }

    void checkMeaning(const OperationAnswers &operation)
    {
        if (!operation.idempotent && !changesData(operation.purpose)) {
            error(operation.pointer + "/idempotent", "an operation that only reads must be idempotent");
        }
        if (!operation.idempotent && (operation.method == "GET" || operation.method == "HEAD")) {
            error(operation.pointer + "/method", "a " + operation.method + " request must be idempotent, since any client may repeat it");
        }
        if (!operation.idempotent && operation.importance != Importance::High) {
            error(operation.pointer + "/importance",
                  "an operation that is not idempotent must be of high importance: a request that is refused may not be sent again");
        } else if (isShedLast(operation.purpose) && operation.importance != Importance::High) {
            warn(operation.pointer + "/importance", "bookings, orders and repairs are shed last, whatever their importance");
        }
        if (operation.idempotent && !changesData(operation.purpose) && operation.importance == Importance::High) {
            warn(operation.pointer + "/importance", "reads are shed before bookings and orders, whatever their importance");
        }
    }

    void checkTimes(const OperationAnswers &operation)
    {
        if (operation.targetLatency > operation.callersWait) {
            error(operation.pointer + "/targetLatencyMs",
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
    AnswerRules(questionnaire, document, findings).check();
}

} // namespace wisteriafork
