#include "core/base/refusalname.h"

#include <algorithm>
#include <array>

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

} // namespace

std::string_view refusalReasonName(RefusalReason reason)
{
    const auto found = std::ranges::find(ReasonNames, reason, &ReasonName::reason);
    return found == ReasonNames.end() ? "other" : found->name;
}

std::string_view refusalKindName(RefusalKind kind)
{
    return kind == RefusalKind::NotRun ? "not-run" : "unknown";
}

} // namespace wisteriafork
