#include "net/requestclassifier.h"

#include "core/base/hashing.h"
#include "core/config/callclassname.h"
#include "net/requestidentity.h"
#include "net/traceparent.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace wisteriafork {

namespace {

// Attempts on backend servers for one caller's request, over its whole chain.
constexpr std::uint32_t EdgeAttempts = 3;
// Attempts of a call of the local backend server that carries none. It cannot be attributed, so it must not be repeated.
constexpr std::uint32_t UnattributedAttempts = 1;
// Longer request ids are cut, because the id is repeated in headers and logs.
constexpr std::size_t MaxRequestId = 128;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::uint64_t> numberHeader(const HttpHeaders &headers, std::string_view name)
{
    const std::string_view text = headers.find(name);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

Duration remainingTime(const HttpRequest &request, const OperationConfiguration &operation)
{
    const Duration wait = operation.callerWait;
    const std::optional<std::uint64_t> header = numberHeader(request.headers, "wf-deadline-ms");
    if (!header || *header > static_cast<std::uint64_t>(operation.callerWait.count())) {
        return wait;
    }
    return std::chrono::milliseconds(*header);
}

std::uint32_t attemptsFor(const HttpRequest &request, CallOrigin origin)
{
    if (origin == CallOrigin::Caller) {
        return EdgeAttempts;
    }
    const std::optional<std::uint64_t> header = numberHeader(request.headers, "wf-attempts-left");
    return header ? static_cast<std::uint32_t>(std::clamp<std::uint64_t>(*header, 0, EdgeAttempts)) : UnattributedAttempts;
}

// Value that tells callers apart: credentials or an explicit name, else the address.
std::string_view callerIdentity(const HttpRequest &request, std::string_view remoteAddress)
{
    for (const std::string_view name : {"authorization", "wf-caller"}) {
        if (const std::string_view value = request.headers.find(name); !value.empty()) {
            return value;
        }
    }
    return remoteAddress;
}

RequestKey requestFingerprint(const HttpRequest &request, const CallDescription &call)
{
    if (call.key != RequestKey{}) {
        const std::string_view key(reinterpret_cast<const char *>(&call.key), sizeof(call.key));
        const std::array<std::string_view, 3> parts{call.service.value(), call.operation.value(), key};
        return hashParts(parts);
    }
    const std::array<std::string_view, 5> parts{call.service.value(), call.operation.value(), request.method, request.target, request.body};
    return hashParts(parts);
}

} // namespace

RequestClassifier::RequestClassifier(Configuration configuration) : m_configuration(std::move(configuration))
{
}

const ServiceConfiguration *RequestClassifier::findService(std::string_view path) const
{
    const ServiceConfiguration *best = nullptr;
    for (const ServiceConfiguration &service : m_configuration.services) {
        const bool longer = best == nullptr || service.pathPrefix.size() > best->pathPrefix.size();
        if (path.starts_with(service.pathPrefix) && longer) {
            best = &service;
        }
    }
    return best;
}

const OperationConfiguration *RequestClassifier::findOperation(const ServiceConfiguration &service, std::string_view method,
                                                               std::string_view path)
{
    const OperationConfiguration *best = nullptr;
    for (const OperationConfiguration &operation : service.operations) {
        const bool longer = best == nullptr || operation.pathPrefix.size() > best->pathPrefix.size();
        if (operation.method == method && path.starts_with(operation.pathPrefix) && longer) {
            best = &operation;
        }
    }
    if (best == nullptr && method == "HEAD") {
        return findOperation(service, "GET", path);
    }
    return best;
}

TenantId RequestClassifier::tenantOf(const HttpRequest &request) const
{
    const std::string_view name = request.headers.find("wf-tenant");
    const auto known = std::ranges::find_if(m_configuration.tenants, [name](const auto &tenant) { return tenant.id.value() == name; });
    if (known != m_configuration.tenants.end()) {
        return known->id;
    }
    // A tenant that is not configured has no share of its own, so that callers cannot invent shares.
    return m_configuration.tenants.empty() ? TenantId("default") : m_configuration.tenants.front().id;
}

tl::expected<ClassifiedRequest, ClassifyError> RequestClassifier::classify(const HttpRequest &request, const RequestSource &source) const
{
    const std::string_view path = pathOf(request.target);
    const ServiceConfiguration *service = findService(path);
    if (service == nullptr) {
        return tl::unexpected(ClassifyError::UnknownService);
    }
    const OperationConfiguration *operation = findOperation(*service, request.method, path);
    if (operation == nullptr) {
        return tl::unexpected(ClassifyError::UnknownOperation);
    }
    ClassifiedRequest result{.traceId = std::string(traceIdOf(request.headers.find("traceparent")))};
    const bool local = source.origin == CallOrigin::LocalService;
    if (!local && result.traceId.empty()) {
        result.traceId = source.freshId;
    }
    CallDescription &call = result.call;
    call.origin = source.origin;
    call.service = service->id;
    call.operation = operation->id;
    call.callClass = operation->callClass;
    call.internal = local;
    call.idempotent = operation->idempotent;
    call.tenant = tenantOf(request);
    // Headers on importance and attempts count only where the local backend server sends them; a caller cannot raise its own class.
    if (local) {
        call.requestId = request.headers.find("wf-request-id").substr(0, MaxRequestId);
        call.callClass = parseCallClass(request.headers.find("wf-class")).value_or(call.callClass);
    }
    if (call.requestId.empty()) {
        call.requestId = result.traceId.empty() ? std::string(source.freshId) : result.traceId;
    }
    const std::string_view caller = callerIdentity(request, source.remoteAddress);
    call.callerHash = hash64(caller);
    if (!operation->idempotent) {
        call.key = requestKey(request, *operation, {.service = service->id.value(), .caller = caller, .path = path});
    }
    call.fingerprint = requestFingerprint(request, call);
    // Fixed over the resends of a request: with a fresh hash each resend would get another chance at the admission level, and callers that
    // resend hard would push out those that do not.
    call.requestHash = hash64(caller, call.fingerprint.high ^ call.fingerprint.low);
    call.deadline = source.now + remainingTime(request, *operation);
    call.attemptsLeft = attemptsFor(request, source.origin);
    return result;
}

} // namespace wisteriafork
