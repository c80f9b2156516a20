#include "observability/refusalname.h"

namespace wisteriafork {

std::string_view refusalKindName(RefusalKind kind)
{
    return kind == RefusalKind::NotRun ? "not-run" : "unknown";
}

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::DeadlineTooShort:
        return "deadline-too-short";
    case RefusalReason::ShareUsedUp:
        return "share-used-up";
    case RefusalReason::NoInstance:
        return "no-instance";
    case RefusalReason::OwnerUnreachable:
        return "owner-unreachable";
    case RefusalReason::OwnerNotReady:
        return "owner-not-ready";
    case RefusalReason::EarlierAttemptUnfinished:
        return "earlier-attempt-unfinished";
    case RefusalReason::AttemptsUsedUp:
        return "attempts-used-up";
    case RefusalReason::SuspectedOfCrash:
        return "suspected-of-crash";
    case RefusalReason::Draining:
        return "draining";
    case RefusalReason::ServerFailed:
        return "server-failed";
    case RefusalReason::NotConfigured:
        return "not-configured";
    }
    return "other";
}

} // namespace wisteriafork
