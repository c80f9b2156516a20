#include "core/config/generator.h"

#include "core/config/questionnairecheck.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

namespace {

OperationConfiguration generateOperation(const OperationAnswers &answers)
{
    OperationConfiguration operation{.id = OperationId(answers.id),
                                     .method = answers.method,
                                     .pathPrefix = answers.pathPrefix,
                                     .callClass = callClassFor(answers.purpose, answers.importance),
                                     .idempotent = answers.idempotent,
                                     .callerWait = answers.callersWait,
                                     .targetLatency = answers.targetLatency,
                                     .calls = {}};
    for (const std::string &service : answers.calls) {
        operation.calls.emplace_back(service);
    }
    return operation;
}

ServiceConfiguration generateService(const ServiceAnswers &answers)
{
    ServiceConfiguration service{.id = ServiceId(answers.id),
                                 .pathPrefix = answers.pathPrefix,
                                 .slots = answers.slots,
                                 .connections = answers.connections,
                                 .operations = {}};
    for (const OperationAnswers &operation : answers.operations) {
        service.operations.push_back(generateOperation(operation));
    }
    return service;
}

Configuration generate(const Questionnaire &questionnaire, std::uint64_t version)
{
    Configuration configuration{.version = version,
                                .name = questionnaire.name,
                                .host = questionnaire.host,
                                .domains = {},
                                .services = {},
                                .workspaces = questionnaire.workspaces};
    for (const std::string &domain : questionnaire.failureDomains) {
        configuration.domains.emplace_back(domain);
    }
    for (const ServiceAnswers &service : questionnaire.services) {
        configuration.services.push_back(generateService(service));
    }
    std::ranges::sort(configuration.services, {}, &ServiceConfiguration::id);
    return configuration;
}

} // namespace

GenerationResult generateConfiguration(std::string_view questionnaireText, std::uint64_t version)
{
    QuestionnaireCheck check = checkQuestionnaire(questionnaireText);
    GenerationResult result{.configuration = std::nullopt, .findings = std::move(check.findings)};
    if (!check.questionnaire) {
        return result;
    }
    result.configuration = generate(*check.questionnaire, version);
    return result;
}

std::optional<std::uint64_t> chooseVersion(std::optional<std::uint64_t> requested, std::optional<std::uint64_t> previous)
{
    if (!requested) {
        return previous.value_or(0) + 1;
    }
    if (*requested <= previous.value_or(0)) {
        return std::nullopt;
    }
    return requested;
}

CallClass callClassFor(Purpose purpose, Importance importance)
{
    switch (purpose) {
    case Purpose::Booking:
    case Purpose::Order:
    case Purpose::Repair:
        return CallClass::Critical;
    case Purpose::Update:
        return importance == Importance::High ? CallClass::Critical : CallClass::Read;
    case Purpose::Read:
    case Purpose::Lookup:
        return importance == Importance::Low ? CallClass::Bulk : CallClass::Read;
    case Purpose::Download:
        return CallClass::Bulk;
    }
    return CallClass::Read;
}

} // namespace wisteriafork
