#pragma once

#include "core/base/ids.h"

#include <cstdint>
#include <string>

namespace wisteriafork {

// State of an instance as the platform's host list gives it.
enum class ListedState : std::uint8_t {
    Live,
    Leaving,
};

// One entry of the platform's host list.
struct MemberInfo
{
    NodeId name;
    Incarnation incarnation = 0;
    ServiceId service;
    DomainId domain;
    // IP address and port of the node's peer listener, "127.0.0.1:7101".
    std::string peerAddress;
    ListedState state = ListedState::Live;

    friend bool operator==(const MemberInfo &, const MemberInfo &) = default;
};

} // namespace wisteriafork
