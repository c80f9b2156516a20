#include "net/refusaltext.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {

struct ReasonName
{
    RefusalReason reason;
    std::string_view name;
};

constexpr std::array<ReasonName, 12> ReasonNames{{
    {RefusalReason::Overloaded, "overloaded"},
    {RefusalReason::DeadlineTooShort, "deadline-too-short"},
    {RefusalReason::ShareUsedUp, "share-used-up"},
    {RefusalReason::NoInstance, "no-instance"},
    {RefusalReason::OwnerUnreachable, "owner-unreachable"},
    {RefusalReason::OwnerNotReady, "owner-not-ready"},
    {RefusalReason::EarlierAttemptUnfinished, "earlier-attempt-unfinished"},
    {RefusalReason::AttemptsUsedUp, "attempts-used-up"},
    {RefusalReason::SuspectedOfCrash, "suspected-of-crash"},
    {RefusalReason::Draining, "draining"},
    {RefusalReason::ServerFailed, "server-failed"},
    {RefusalReason::NotConfigured, "not-configured"},
}};

// Given where the refusal names no time; clients must not resend at once.
constexpr std::chrono::seconds DefaultRetryAfter{1};

} // namespace

std::string_view reasonName(RefusalReason reason)
{
    const auto found = std::ranges::find(ReasonNames, reason, &ReasonName::reason);
    return found == ReasonNames.end() ? "other" : found->name;
}

std::optional<RefusalReason> reasonFromName(std::string_view name)
{
    const auto found = std::ranges::find(ReasonNames, name, &ReasonName::name);
    return found == ReasonNames.end() ? std::nullopt : std::optional(found->reason);
}

std::string_view kindName(RefusalKind kind)
{
    return kind == RefusalKind::NotRun ? "not-run" : "unknown";
}

std::optional<RefusalKind> kindFromName(std::string_view name)
{
    if (name == "not-run") {
        return RefusalKind::NotRun;
    }
    return name == "unknown" ? std::optional(RefusalKind::OutcomeUnknown) : std::nullopt;
}

HttpResponse refusalResponse(const Refusal &refusal)
{
    const auto seconds = std::max(std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter), DefaultRetryAfter).count();
    HttpResponse response{.status = 503};
    response.headers.add("content-type", "application/json");
    response.headers.add("retry-after", std::to_string(seconds));
    response.headers.add("wf-outcome", std::string(kindName(refusal.kind)));
    response.headers.add("wf-reason", std::string(reasonName(refusal.reason)));
    response.body = nlohmann::json{
        {"outcome", kindName(refusal.kind)},
        {"reason", reasonName(refusal.reason)},
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
