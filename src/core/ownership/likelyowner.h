#pragma once

#include "core/base/memberinfo.h"
#include "core/base/requestkey.h"

#include <functional>
#include <span>

namespace wisteriafork {

// The instance among the candidates that probably owns the key: the first in rank that is not known to be gone. A guess only; the owner
// itself decides, and redirects if the guess is wrong. Null if no candidate is left. `gone` may be empty.
const MemberInfo *likelyOwner(const RequestKey &key, std::span<const MemberInfo> candidates,
                              const std::function<bool(const MemberInfo &)> &gone = {});

} // namespace wisteriafork
