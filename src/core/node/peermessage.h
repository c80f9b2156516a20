#pragma once

#include <variant>

namespace wisteriafork {

// Control messages between nodes. Each alternative is an aggregate with `fields()` members that return `std::tie` of its members in wire
// order; the codec encodes the index of the alternative and the fields. New alternatives are appended, never inserted.
using PeerMessage = std::variant<std::monostate>;

} // namespace wisteriafork
