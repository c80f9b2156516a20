#include "core/config/questionnairerules.h"

#include "core/config/objectreader.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

namespace wisteriafork {

namespace {

using std::chrono::milliseconds;

// Above this, records of request keys take noticeable memory: 64 bytes each for the whole time.
constexpr milliseconds LongRetention = std::chrono::hours(24);

// Headers that differ between a request and its resend, so that they cannot identify it.
constexpr std::array<std::string_view, 5> ChangingHeaders{"traceparent", "tracestate", "date", "content-length", "wf-request-id"};

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
                checkIdentity(operation);
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
        checkUnique(all.tenants.size(), [&](std::size_t index) {
            return std::make_pair(all.tenants[index].id.value(), childPointer("/tenants", index) + "/id");
        });
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
        const bool hasOwners = std::any_of(service.operations.begin(), service.operations.end(),
                                           [](const OperationAnswers &operation) { return !operation.idempotent; });
        if (hasOwners && service.instances < 3) {
            warn(service.pointer + "/instances",
                 "with fewer than 3 instances, requests that were in flight on a lost instance stay refused for their retention time");
        }
        if (hasOwners && m_questionnaire.failureDomains.size() == 1) {
            warn("/failureDomains", "with one failure domain, its loss takes all records of the service \"" + service.id + "\"");
        }
    }

    // Among operations of a method, the longest prefix wins. Equal prefixes have no winner, and a prefix that ends within a path segment
    // catches more than it says.
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
        std::vector<const OperationAnswers *> open;
        for (const OperationAnswers *operation : ordered) {
            while (!open.empty()
                   && (open.back()->method != operation->method || !operation->pathPrefix.starts_with(open.back()->pathPrefix))) {
                open.pop_back();
            }
            if (!open.empty()) {
                checkOverlap(*open.back(), *operation);
            }
            open.push_back(operation);
        }
    }

    void checkOverlap(const OperationAnswers &shorter, const OperationAnswers &longer)
    {
        if (shorter.pathPrefix == longer.pathPrefix) {
            error(longer.pointer + "/pathPrefix", "overlaps: same method and path prefix as the operation \"" + shorter.id + "\"");
            return;
        }
        const bool atSegment = shorter.pathPrefix.ends_with('/') || longer.pathPrefix[shorter.pathPrefix.size()] == '/';
        if (!atSegment) {
            warn(longer.pointer + "/pathPrefix",
                 "overlaps with the operation \"" + shorter.id + "\", whose path prefix \"" + shorter.pathPrefix
                     + "\" ends within the same path segment");
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

    void checkIdentity(const OperationAnswers &operation)
    {
        const RequestIdentity &identity = operation.identifiedBy;
        if (!operation.idempotent && identity.headers.empty() && identity.bodyFields.empty()) {
            error(operation.pointer,
                  "an operation that is not idempotent needs headers or body fields in \"identifiedBy\" that tell two requests apart");
        }
        for (const std::string &header : identity.headers) {
            if (std::find(ChangingHeaders.begin(), ChangingHeaders.end(), header) != ChangingHeaders.end()) {
                error(operation.pointer + "/identifiedBy/headers",
                      "the header \"" + header + "\" changes with each send, so a resend would run again");
            }
        }
        if (std::find(identity.headers.begin(), identity.headers.end(), "idempotency-key") != identity.headers.end()) {
            warn(operation.pointer + "/identifiedBy/headers", "\"idempotency-key\" always counts and need not be named");
        }
    }

    void checkTimes(const OperationAnswers &operation)
    {
        const bool resends = operation.clientsResendFor.count() > 0;
        if (resends && operation.callersWait > operation.clientsResendFor) {
            error(operation.pointer + "/clientsResendForMs",
                  "callers wait longer (" + std::to_string(operation.callersWait.count()) + " ms) than clients resend ("
                      + std::to_string(operation.clientsResendFor.count()) + " ms); give 0 if clients never resend");
        }
        const milliseconds retention = operation.callersWait + operation.clientsResendFor + m_questionnaire.bounds.pauseBound;
        if (!operation.idempotent && retention > LongRetention) {
            warn(operation.pointer + "/clientsResendForMs", "records of each request are kept for more than a day");
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
