#include "core/base/refusalname.h"

namespace wisteriafork {

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::DeadlineTooShort:
        return "deadline-too-short";
    case RefusalReason::NoInstance:
        return "no-instance";
    case RefusalReason::SuspectedOfCrash:
        return "suspected-of-crash";
    case RefusalReason::Draining:
        return "draining";
    case RefusalReason::NotConfigured:
        return "not-configured";
    case RefusalReason::UnknownKey:
        return "unknown-key";
    case RefusalReason::StaleConfiguration:
        return "stale-configuration";
    case RefusalReason::OverQuota:
        return "over-quota";
    }
    return "other";
}

} // namespace wisteriafork
