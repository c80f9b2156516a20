#include "net/requestidentity.h"

#include "core/base/hashing.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {

// Text of a body field; empty if the body is no JSON or has no such field.
std::string bodyField(const nlohmann::json &body, const std::string &pointer)
{
    if (body.is_discarded()) {
        return {};
    }
    try {
        const nlohmann::json::json_pointer place(pointer);
        return body.contains(place) ? body.at(place).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) : std::string();
    } catch (const nlohmann::json::exception &) {
        // A malformed pointer in the configuration names no field.
        return {};
    }
}

} // namespace

RequestKey requestKey(const HttpRequest &request, const OperationConfiguration &operation, const IdentityContext &context)
{
    // The first part keeps the two kinds of identity apart.
    const std::string_view idempotencyKey = request.headers.find("idempotency-key");
    if (!idempotencyKey.empty()) {
        const std::string_view parts[] = {"key", context.service, operation.id.value(), context.caller, idempotencyKey};
        return hashParts(parts);
    }
    std::vector<std::string> values;
    values.reserve(operation.identity.bodyFields.size());
    if (!operation.identity.bodyFields.empty()) {
        const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
        for (const std::string &pointer : operation.identity.bodyFields) {
            values.push_back(bodyField(body, pointer));
        }
    }
    std::vector<std::string_view> parts{"fields", context.service, operation.id.value(), context.caller, context.path};
    for (const std::string &name : operation.identity.headers) {
        parts.push_back(request.headers.find(name));
    }
    parts.insert(parts.end(), values.begin(), values.end());
    if (operation.identity.headers.empty() && operation.identity.bodyFields.empty()) {
        parts.push_back(request.target);
        parts.push_back(request.body);
    }
    return hashParts(parts);
}

} // namespace wisteriafork
