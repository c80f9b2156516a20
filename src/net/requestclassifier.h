#pragma once

#include "core/base/calldescription.h"
#include "core/config/configuration.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace wisteriafork {

enum class ClassifyError : std::uint8_t {
    UnknownService,
    UnknownOperation,
};

// What the classifier needs to know of a request besides the message itself.
struct RequestSource
{
    CallOrigin origin = CallOrigin::Caller;
    std::string_view remoteAddress;
    TimePoint now;
    // Used where the request has neither `Wf-Request-Id` nor `traceparent`; 32 hex digits.
    std::string_view freshId;
};

struct ClassifiedRequest
{
    CallDescription call;
    // Trace id of `traceparent`; empty if there is none.
    std::string traceId;
};

// Derives the description of a call from a request and the configuration. Immutable; safe to share between threads.
class RequestClassifier
{
public:
    explicit RequestClassifier(Configuration configuration);

    tl::expected<ClassifiedRequest, ClassifyError> classify(const HttpRequest &request, const RequestSource &source) const;

    std::uint64_t configurationVersion() const
    {
        return m_configuration.version;
    }

private:
    const ServiceConfiguration *findService(std::string_view path) const;
    static const OperationConfiguration *findOperation(const ServiceConfiguration &service, std::string_view method, std::string_view path);
    TenantId tenantOf(const HttpRequest &request) const;

    Configuration m_configuration;
};

} // namespace wisteriafork
