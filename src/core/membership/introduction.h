#pragma once

#include "core/base/memberinfo.h"

#include <string>
#include <tuple>

namespace wisteriafork {

// How a member presents itself or another member in a control message, so that the receiver can answer a sender that is in none of its host
// lists. It is no claim about the state of the member.
struct Introduction
{
    NodeId name;
    Incarnation incarnation = 0;
    ServiceId service;
    DomainId domain;
    // Address of the member's peer listener.
    std::string address;

    auto fields()
    {
        return std::tie(name, incarnation, service, domain, address);
    }
    auto fields() const
    {
        return std::tie(name, incarnation, service, domain, address);
    }

    friend bool operator==(const Introduction &, const Introduction &) = default;
};

// Introduction of a member of a host list.
inline Introduction introduce(const MemberInfo &member)
{
    return {.name = member.name,
            .incarnation = member.incarnation,
            .service = member.service,
            .domain = member.domain,
            .address = member.peerAddress};
}

} // namespace wisteriafork
