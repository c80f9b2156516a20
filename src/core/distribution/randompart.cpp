#include "core/distribution/randompart.h"

namespace wisteriafork {

Duration randomPart(Duration whole, RandomEngine &random)
{
    return std::chrono::duration_cast<Duration>(whole * std::uniform_real_distribution<double>(0, 1)(random));
}

} // namespace wisteriafork
