#pragma once

#include <cstdint>

namespace wisteriafork {

// What a node believes of one incarnation of a member.
enum class MemberState : std::uint8_t {
    Live,
    // Answers, but gets no new work: the host list or the member itself says that it is leaving.
    Leaving,
    // Does not answer this node or several others; gets no new work until it answers again.
    Suspected,
    // Not listed any more, and there is no evidence that it still runs.
    Gone,
};

} // namespace wisteriafork
