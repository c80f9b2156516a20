#pragma once

#include "core/ownership/joinmessages.h"

#include <span>
#include <vector>

namespace wisteriafork {

// Number of witnesses of an owner, if the service has so many other instances.
constexpr std::size_t WitnessCount = 2;

// Chooses the witnesses of an owner among other members of its service: in failure domains other than the owner's and than each other's
// where possible, and spread evenly over the members.
std::vector<MemberId> chooseWitnesses(const MemberAddress &owner, std::span<const MemberAddress> candidates);

} // namespace wisteriafork
