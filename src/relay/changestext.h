#pragma once

#include <string>

namespace wisteriafork {

// Response of a node to a request for published changes, as it travels between nodes.
struct ChangesText
{
    // Encoded `ChangesResponse`.
    std::string body;
    // Details that nodes of earlier versions ignore, see `encodeDetails`; empty if there are none.
    std::string details;
};

// Header field with the details.
constexpr const char *DetailsField = "wf-changes-details";

} // namespace wisteriafork
