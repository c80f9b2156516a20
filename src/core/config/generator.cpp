#include "core/config/generator.h"

#include "core/config/questionnairecheck.h"
#include "core/config/slices.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

namespace {

OperationConfiguration generateOperation(const OperationAnswers &answers)
{
    OperationConfiguration operation{.id = OperationId(answers.id),
                                     .method = answers.method,
                                     .pathPrefix = answers.pathPrefix,
                                     .callClass = classOf(answers.purpose, answers.importance),
                                     .idempotent = answers.idempotent,
                                     .identity = answers.identifiedBy,
                                     .callerWait = answers.callersWait,
                                     .resendTime = answers.clientsResendFor,
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
    CommonSlice common{.name = questionnaire.name, .domains = {}, .tenants = questionnaire.tenants, .bounds = questionnaire.bounds};
    for (const std::string &domain : questionnaire.failureDomains) {
        common.domains.emplace_back(domain);
    }
    std::vector<ServiceConfiguration> services;
    for (const ServiceAnswers &service : questionnaire.services) {
        services.push_back(generateService(service));
    }
    return assembleConfiguration(version, common, std::move(services));
}

// The configuration service holds values of up to 1 MB, which a service with very many operations could exceed.
void checkSliceSizes(const Questionnaire &questionnaire, const Configuration &configuration, Findings &findings)
{
    for (const ServiceConfiguration &service : configuration.services) {
        const std::size_t size = printServiceSlice(service).size();
        if (size <= MaximumSliceBytes) {
            continue;
        }
        const auto answers = std::find_if(questionnaire.services.begin(), questionnaire.services.end(),
                                          [&](const ServiceAnswers &candidate) { return candidate.id == service.id.value(); });
        findings.push_back({.severity = Severity::Error,
                            .pointer = answers != questionnaire.services.end() ? answers->pointer : "",
                            .line = 0,
                            .message = "the slice of the service has " + std::to_string(size) + " bytes, the configuration service holds "
                                + std::to_string(MaximumSliceBytes)});
    }
}

} // namespace

GenerationResult generateConfiguration(std::string_view questionnaireText, std::uint64_t version)
{
    QuestionnaireCheck check = checkQuestionnaire(questionnaireText);
    GenerationResult result{.configuration = std::nullopt, .findings = std::move(check.findings)};
    if (!check.questionnaire) {
        return result;
    }
    Configuration configuration = generate(*check.questionnaire, version);
    checkSliceSizes(*check.questionnaire, configuration, result.findings);
    if (!hasErrors(result.findings)) {
        result.configuration = std::move(configuration);
    }
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

CallClass classOf(Purpose purpose, Importance importance)
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
