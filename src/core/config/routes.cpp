#include "core/config/routes.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Number of instances that a request may be sent to one after another, so that it survives the loss of two instances at the same time.
constexpr unsigned MaximumIdempotentAttempts = 3;
// A non-idempotent request is sent to another instance only if the first one did not execute it.
constexpr unsigned MaximumNonIdempotentAttempts = 2;
constexpr char NameSeparator = '/';

Route routeOf(const ServiceConfiguration &service, const OperationConfiguration &operation, const std::string &host)
{
    return {.name = service.id.value() + NameSeparator + operation.id.value(),
            .host = host,
            .method = operation.method,
            .prefix = operation.pathPrefix,
            .kind = operation.idempotent ? RequestKind::Idempotent : RequestKind::NonIdempotent,
            .services = {{.service = service.id}},
            .timeout = operation.callerWait,
            .targetLatency = operation.targetLatency,
            .maxAttempts = operation.idempotent ? MaximumIdempotentAttempts : MaximumNonIdempotentAttempts,
            .priority = priorityOfClass(operation.callClass)};
}

} // namespace

RouteTable routesOf(const Configuration &configuration)
{
    std::vector<Route> routes;
    for (const ServiceConfiguration &service : configuration.services) {
        for (const OperationConfiguration &operation : service.operations) {
            routes.push_back(routeOf(service, operation, configuration.host));
        }
    }
    return {configuration.version, std::move(routes)};
}

unsigned priorityOfClass(CallClass callClass)
{
    return static_cast<unsigned>(CallClass::Critical) - static_cast<unsigned>(callClass);
}

CallClass classOfPriority(unsigned priority)
{
    const auto critical = static_cast<unsigned>(CallClass::Critical);
    return priority >= critical ? CallClass::Bulk : static_cast<CallClass>(critical - priority);
}

RouteOperation parseRouteName(std::string_view routeName)
{
    const std::size_t separator = std::min(routeName.find(NameSeparator), routeName.size());
    const std::string_view operation = routeName.substr(std::min(separator + 1, routeName.size()));
    return {.service = ServiceId(std::string(routeName.substr(0, separator))), .operation = OperationId(std::string(operation))};
}

} // namespace wisteriafork
