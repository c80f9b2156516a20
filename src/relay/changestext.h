#pragma once

#include <string>

namespace wisteriafork {

// Request for published changes, or the response to one, as it travels between nodes.
struct ChangesText
{
    // Encoded `ChangesRequest` or `ChangesResponse`.
    std::string body;
    // Details that nodes of earlier versions ignore, see `encodeDetails`; empty if there are none.
    std::string details;
};

// Header field with the details.
constexpr const char *DetailsField = "wf-changes-details";

} // namespace wisteriafork
