#include "core/config/configurationdocument.h"

#include "core/config/callclassname.h"
#include "core/config/objectreader.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wisteriafork {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A questionnaire has at most 4 MB, and the document repeats its answers with additional member names.
constexpr std::size_t MaximumDocumentBytes = 16'000'000;
// 7 days.
constexpr std::uint64_t MaximumDurationMs = std::uint64_t{7} * 24 * 3600 * 1000;
// Bounds the slots and the connections of one instance.
constexpr std::uint64_t MaximumConcurrency = 1'000'000;
// JSON parsers that read numbers as doubles represent all whole numbers up to this one exactly.
constexpr std::uint64_t MaximumVersion = std::uint64_t{1} << 53U;
constexpr int IndentationSpaces = 2;

template <typename Id>
json idList(const std::vector<Id> &ids)
{
    json list = json::array();
    for (const Id &id : ids) {
        list.push_back(id.value());
    }
    return list;
}

template <typename Id>
std::vector<Id> toIds(std::vector<std::string> texts)
{
    std::vector<Id> ids;
    ids.reserve(texts.size());
    for (std::string &text : texts) {
        ids.emplace_back(std::move(text));
    }
    return ids;
}

json operationJson(const OperationConfiguration &operation)
{
    return {{"id", operation.id.value()},
            {"method", operation.method},
            {"pathPrefix", operation.pathPrefix},
            {"class", callClassName(operation.callClass)},
            {"idempotent", operation.idempotent},
            {"callerWaitMs", operation.callerWait.count()},
            {"targetLatencyMs", operation.targetLatency.count()},
            {"calls", idList(operation.calls)}};
}

json serviceJson(const ServiceConfiguration &service)
{
    json operations = json::array();
    for (const OperationConfiguration &operation : service.operations) {
        operations.push_back(operationJson(operation));
    }
    return {{"id", service.id.value()},
            {"pathPrefix", service.pathPrefix},
            {"slots", service.slots},
            {"connections", service.connections},
            {"operations", std::move(operations)}};
}

std::string toIndentedText(const json &value)
{
    return value.dump(IndentationSpaces, ' ', false, json::error_handler_t::replace) + "\n";
}

// Reads a configuration from one document and collects the findings.
class DocumentReader
{
public:
    explicit DocumentReader(const LocatedJson &document) : m_document(document)
    {
    }

    ValueOrFindings<Configuration> read()
    {
        ObjectReader reader(m_document, m_document.value, "", m_findings);
        Configuration configuration;
        configuration.version = reader.integer("version", 1, MaximumVersion);
        configuration.name = reader.text("name");
        if (reader.has("host")) {
            configuration.host = reader.text("host");
        }
        configuration.domains = toIds<DomainId>(reader.texts("domains", true));
        configuration.workspaces = toIds<WorkspaceId>(reader.texts("workspaces", false));
        std::set<ServiceId> usedIds;
        reader.forEachElement("services", true, [&](const json &value, const std::string &pointer) {
            configuration.services.push_back(readService(value, pointer));
            checkUnique(usedIds, configuration.services.back().id, pointer);
        });
        reader.reportUnknownMembers();
        if (!m_findings.empty()) {
            sortFindings(m_findings);
            return tl::unexpected(std::move(m_findings));
        }
        std::ranges::sort(configuration.services, {}, &ServiceConfiguration::id);
        return configuration;
    }

private:
    ServiceConfiguration readService(const json &value, const std::string &pointer)
    {
        ObjectReader reader(m_document, value, pointer, m_findings);
        ServiceConfiguration service;
        service.id = ServiceId(reader.text("id"));
        service.pathPrefix = reader.text("pathPrefix");
        service.slots = static_cast<unsigned>(reader.integer("slots", 1, MaximumConcurrency));
        service.connections = static_cast<unsigned>(reader.integer("connections", 1, MaximumConcurrency));
        std::set<OperationId> usedIds;
        reader.forEachElement("operations", true, [&](const json &element, const std::string &elementPointer) {
            service.operations.push_back(readOperation(element, elementPointer));
            checkUnique(usedIds, service.operations.back().id, elementPointer);
        });
        reader.reportUnknownMembers();
        return service;
    }

    OperationConfiguration readOperation(const json &value, const std::string &pointer)
    {
        ObjectReader reader(m_document, value, pointer, m_findings);
        OperationConfiguration operation;
        operation.id = OperationId(reader.text("id"));
        operation.method = reader.text("method");
        operation.pathPrefix = reader.text("pathPrefix");
        operation.callClass = parseCallClass(reader.choice("class", {"bulk", "read", "critical"})).value_or(CallClass::Read);
        operation.idempotent = reader.boolean("idempotent");
        operation.callerWait = milliseconds(reader.integer("callerWaitMs", 1, MaximumDurationMs));
        operation.targetLatency = milliseconds(reader.integer("targetLatencyMs", 1, MaximumDurationMs));
        operation.calls = toIds<ServiceId>(reader.texts("calls", false));
        reader.reportUnknownMembers();
        return operation;
    }

    // Reports an element whose id another element of the same list already has.
    template <typename Id>
    void checkUnique(std::set<Id> &usedIds, const Id &id, const std::string &pointer)
    {
        if (!id.empty() && !usedIds.insert(id).second) {
            addFinding(m_findings, m_document, Severity::Error, pointer, "\"" + id.value() + "\" occurs more than once");
        }
    }

    const LocatedJson &m_document;
    Findings m_findings;
};

} // namespace

std::string configurationToJson(const Configuration &configuration)
{
    std::vector<ServiceConfiguration> sortedServices = configuration.services;
    std::ranges::sort(sortedServices, {}, &ServiceConfiguration::id);
    json services = json::array();
    for (const ServiceConfiguration &service : sortedServices) {
        services.push_back(serviceJson(service));
    }
    json document = {{"version", configuration.version},
                     {"name", configuration.name},
                     {"domains", idList(configuration.domains)},
                     {"workspaces", idList(configuration.workspaces)},
                     {"services", std::move(services)}};
    if (!configuration.host.empty()) {
        document["host"] = configuration.host;
    }
    return toIndentedText(document);
}

std::string serviceToJson(const ServiceConfiguration &service)
{
    return toIndentedText(serviceJson(service));
}

ValueOrFindings<Configuration> parseConfiguration(std::string_view text)
{
    const ValueOrFindings<LocatedJson> document = parseLocatedJson(text, MaximumDocumentBytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    return DocumentReader(*document).read();
}

} // namespace wisteriafork
