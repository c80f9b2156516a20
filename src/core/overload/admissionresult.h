#pragma once

#include "core/base/ids.h"
#include "core/base/refusal.h"

#include <cstdint>

namespace wisteriafork {

enum class AdmissionVerdict : std::uint8_t {
    Run,
    Queued,
    Refused,
};

// Decision of the admission controller on one call. `refusal` is set if the verdict is `Refused`.
struct AdmissionResult
{
    CallId id = 0;
    AdmissionVerdict verdict = AdmissionVerdict::Run;
    Refusal refusal;
};

} // namespace wisteriafork
