#pragma once

#include "core/base/requestkey.h"
#include "core/config/configuration.h"
#include "net/httpmessage.h"

#include <string_view>

namespace wisteriafork {

struct IdentityContext
{
    std::string_view service;
    std::string_view caller;
    std::string_view path;
};

// Identity of a request across resends: `Idempotency-Key` with the caller where that header is sent, else the caller, the operation, the
// path and the header and body fields that the questionnaire names. Where it names none, the whole body counts.
RequestKey requestKey(const HttpRequest &request, const OperationConfiguration &operation, const IdentityContext &context);

} // namespace wisteriafork
