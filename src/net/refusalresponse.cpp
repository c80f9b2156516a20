#include "net/refusalresponse.h"

#include "core/base/refusalname.h"

#include <algorithm>
#include <chrono>
#include <string>

#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {

// Given where the refusal names no time; clients must not resend at once.
constexpr std::chrono::seconds DefaultRetryAfter{1};

} // namespace

HttpResponse refusalResponse(const Refusal &refusal)
{
    const auto seconds = std::max(std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter), DefaultRetryAfter).count();
    HttpResponse response{.status = 503};
    response.headers.add("content-type", "application/json");
    response.headers.add("retry-after", std::to_string(seconds));
    response.headers.add("wf-outcome", std::string(refusalKindName(refusal.kind)));
    response.headers.add("wf-reason", std::string(refusalReasonName(refusal.reason)));
    response.body = nlohmann::json{
        {"outcome", refusalKindName(refusal.kind)},
        {"reason", refusalReasonName(refusal.reason)},
        {"retry_after_s", seconds},
    }.dump();
    return response;
}

HttpResponse errorResponse(unsigned status, std::string_view message)
{
    HttpResponse response{.status = status};
    response.headers.add("content-type", "application/json");
    response.body = nlohmann::json{{"error", message}}.dump();
    return response;
}

} // namespace wisteriafork
