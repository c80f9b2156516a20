#include "core/config/slices.h"

#include "core/base/hashing.h"
#include "core/config/callclassname.h"
#include "core/config/objectreader.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace wisteriafork {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint64_t LongestMilliseconds = std::uint64_t{7} * 24 * 3600 * 1000;
constexpr std::uint64_t MostSlots = 1'000'000;
constexpr std::uint64_t MostVersion = std::uint64_t{1} << 53U;
constexpr double LeastWeight = 0.001;
constexpr double GreatestWeight = 1'000'000;

std::string compact(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

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

json operationToJson(const OperationConfiguration &operation)
{
    return {{"id", operation.id.value()},
            {"method", operation.method},
            {"pathPrefix", operation.pathPrefix},
            {"class", callClassName(operation.callClass)},
            {"idempotent", operation.idempotent},
            {"identity", {{"headers", operation.identity.headers}, {"bodyFields", operation.identity.bodyFields}}},
            {"callerWaitMs", operation.callerWait.count()},
            {"resendTimeMs", operation.resendTime.count()},
            {"calls", idList(operation.calls)}};
}

milliseconds readMilliseconds(ObjectReader &reader, std::string_view name, std::uint64_t least)
{
    return milliseconds(reader.integer(name, least, LongestMilliseconds));
}

RequestIdentity readIdentity(const LocatedJson &document, ObjectReader &operation, Findings &findings)
{
    RequestIdentity identity;
    const json *value = operation.member("identity");
    if (value == nullptr) {
        return identity;
    }
    ObjectReader reader(document, *value, operation.pointerTo("identity"), findings);
    identity.headers = reader.texts("headers", false);
    identity.bodyFields = reader.texts("bodyFields", false);
    reader.reportUnknownMembers();
    return identity;
}

OperationConfiguration readOperation(const LocatedJson &document, const json &value, const std::string &pointer, Findings &findings)
{
    ObjectReader reader(document, value, pointer, findings);
    OperationConfiguration operation;
    operation.id = OperationId(reader.text("id"));
    operation.method = reader.text("method");
    operation.pathPrefix = reader.text("pathPrefix");
    operation.callClass = parseCallClass(reader.choice("class", {"bulk", "read", "critical"})).value_or(CallClass::Read);
    operation.idempotent = reader.boolean("idempotent");
    operation.identity = readIdentity(document, reader, findings);
    operation.callerWait = readMilliseconds(reader, "callerWaitMs", 1);
    operation.resendTime = readMilliseconds(reader, "resendTimeMs", 0);
    operation.calls = toIds<ServiceId>(reader.texts("calls", false));
    reader.reportUnknownMembers();
    return operation;
}

TenantConfiguration readTenant(const LocatedJson &document, const json &value, const std::string &pointer, Findings &findings)
{
    ObjectReader reader(document, value, pointer, findings);
    TenantConfiguration tenant;
    tenant.id = TenantId(reader.text("id"));
    tenant.weight = reader.number("weight", LeastWeight, GreatestWeight, 1.0);
    reader.reportUnknownMembers();
    return tenant;
}

// Reports an element whose id was seen before in the same list.
template <typename Id>
void checkUnique(std::set<Id> &seen, const Id &id, const LocatedJson &document, const std::string &pointer, Findings &findings)
{
    if (!id.empty() && !seen.insert(id).second) {
        addFinding(findings, document, Severity::Error, pointer, "\"" + id.value() + "\" occurs more than once");
    }
}

EnvironmentBounds readBounds(const LocatedJson &document, ObjectReader &common, Findings &findings)
{
    EnvironmentBounds bounds;
    const json *value = common.member("bounds");
    if (value == nullptr) {
        addFinding(findings, document, Severity::Error, common.pointer(), "member \"bounds\" is missing");
        return bounds;
    }
    ObjectReader reader(document, *value, common.pointerTo("bounds"), findings);
    bounds.pauseBound = readMilliseconds(reader, "pauseBoundMs", 0);
    bounds.hostListLag = readMilliseconds(reader, "hostListLagMs", 0);
    bounds.isolationBound = readMilliseconds(reader, "isolationBoundMs", 1);
    reader.reportUnknownMembers();
    return bounds;
}

SliceEntry readSliceEntry(const LocatedJson &document, const json &value, const std::string &pointer, Findings &findings)
{
    ObjectReader reader(document, value, pointer, findings);
    SliceEntry entry;
    entry.version = reader.integer("version", 1, MostVersion);
    entry.hash = reader.text("hash");
    if (!entry.hash.empty() && (entry.hash.size() != 16 || entry.hash.find_first_not_of("0123456789abcdef") != std::string::npos)) {
        reader.error("hash", "expected 16 lower-case hex digits, found \"" + entry.hash + "\"");
    }
    reader.reportUnknownMembers();
    return entry;
}

template <typename Value>
Checked<Value> result(Value value, Findings findings)
{
    if (!findings.empty()) {
        sortFindings(findings);
        return tl::unexpected(std::move(findings));
    }
    return value;
}

} // namespace

std::string sliceKey(std::string_view sliceName)
{
    return std::string(SliceKeyPrefix) + std::string(sliceName);
}

std::string sliceHash(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t hash = hash64(text);
    std::string result(16, '0');
    for (auto digit = result.rbegin(); digit != result.rend(); ++digit) {
        *digit = digits[hash & 0xfU];
        hash >>= 4U;
    }
    return result;
}

std::string printIndex(const ConfigurationIndex &index)
{
    json slices = json::object();
    for (const auto &[name, entry] : index.slices) {
        slices[name] = {{"version", entry.version}, {"hash", entry.hash}};
    }
    return compact({{"version", index.version}, {"slices", std::move(slices)}});
}

Checked<ConfigurationIndex> parseIndex(std::string_view text)
{
    const Checked<LocatedJson> document = parseLocatedJson(text, MaximumSliceBytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    Findings findings;
    ObjectReader reader(*document, document->value, "", findings);
    ConfigurationIndex index;
    index.version = reader.integer("version", 1, MostVersion);
    const json *slices = reader.member("slices");
    if (slices == nullptr || !slices->is_object()) {
        reader.error("slices", "expected an object with one member per slice");
    } else {
        for (const auto &[name, value] : slices->items()) {
            const std::string pointer = childPointer("/slices", name);
            const SliceEntry entry = readSliceEntry(*document, value, pointer, findings);
            if (entry.version > index.version) {
                addFinding(findings, *document, Severity::Error, pointer, "slice version is greater than the version of the index");
            }
            index.slices.emplace(name, entry);
        }
        if (!index.slices.contains(std::string(CommonSliceName))) {
            reader.error("slices", "slice \"_common\" is missing");
        }
    }
    reader.reportUnknownMembers();
    return result(std::move(index), std::move(findings));
}

std::string printServiceSlice(const ServiceConfiguration &service)
{
    json operations = json::array();
    for (const OperationConfiguration &operation : service.operations) {
        operations.push_back(operationToJson(operation));
    }
    return compact({{"id", service.id.value()},
                    {"pathPrefix", service.pathPrefix},
                    {"slots", service.slots},
                    {"connections", service.connections},
                    {"operations", std::move(operations)}});
}

Checked<ServiceConfiguration> parseServiceSlice(std::string_view text)
{
    const Checked<LocatedJson> document = parseLocatedJson(text, MaximumSliceBytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    Findings findings;
    ObjectReader reader(*document, document->value, "", findings);
    ServiceConfiguration service;
    service.id = ServiceId(reader.text("id"));
    service.pathPrefix = reader.text("pathPrefix");
    service.slots = static_cast<unsigned>(reader.integer("slots", 1, MostSlots));
    service.connections = static_cast<unsigned>(reader.integer("connections", 1, MostSlots));
    std::set<OperationId> seen;
    reader.elements("operations", true, [&](const json &value, const std::string &pointer) {
        service.operations.push_back(readOperation(*document, value, pointer, findings));
        checkUnique(seen, service.operations.back().id, *document, pointer, findings);
    });
    reader.reportUnknownMembers();
    return result(std::move(service), std::move(findings));
}

std::string printCommonSlice(const CommonSlice &common)
{
    json tenants = json::array();
    for (const TenantConfiguration &tenant : common.tenants) {
        tenants.push_back({{"id", tenant.id.value()}, {"weight", tenant.weight}});
    }
    return compact({{"name", common.name},
                    {"domains", idList(common.domains)},
                    {"tenants", std::move(tenants)},
                    {"bounds",
                     {{"pauseBoundMs", common.bounds.pauseBound.count()},
                      {"hostListLagMs", common.bounds.hostListLag.count()},
                      {"isolationBoundMs", common.bounds.isolationBound.count()}}}});
}

Checked<CommonSlice> parseCommonSlice(std::string_view text)
{
    const Checked<LocatedJson> document = parseLocatedJson(text, MaximumSliceBytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    Findings findings;
    ObjectReader reader(*document, document->value, "", findings);
    CommonSlice common;
    common.name = reader.text("name");
    common.domains = toIds<DomainId>(reader.texts("domains", true));
    std::set<TenantId> seen;
    reader.elements("tenants", true, [&](const json &value, const std::string &pointer) {
        common.tenants.push_back(readTenant(*document, value, pointer, findings));
        checkUnique(seen, common.tenants.back().id, *document, pointer, findings);
    });
    common.bounds = readBounds(*document, reader, findings);
    reader.reportUnknownMembers();
    return result(std::move(common), std::move(findings));
}

CommonSlice commonSlice(const Configuration &configuration)
{
    return {.name = configuration.name, .domains = configuration.domains, .tenants = configuration.tenants, .bounds = configuration.bounds};
}

Configuration assembleConfiguration(std::uint64_t version, const CommonSlice &common, std::vector<ServiceConfiguration> services)
{
    std::sort(services.begin(), services.end(),
              [](const ServiceConfiguration &first, const ServiceConfiguration &second) { return first.id < second.id; });
    return {.version = version,
            .name = common.name,
            .domains = common.domains,
            .services = std::move(services),
            .tenants = common.tenants,
            .bounds = common.bounds};
}

} // namespace wisteriafork
