#pragma once

#include "core/base/clock.h"
#include "core/base/random.h"

namespace wisteriafork {

// A random part of the whole, evenly distributed.
Duration randomPart(Duration whole, RandomEngine &random);

} // namespace wisteriafork
