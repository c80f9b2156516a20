#pragma once

#include "core/base/refusal.h"

#include <string_view>

namespace wisteriafork {

// Name of a reason in the administration API and in tables, for example "overloaded".
std::string_view refusalReasonName(RefusalReason reason);

} // namespace wisteriafork
