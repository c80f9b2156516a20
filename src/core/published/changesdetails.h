#pragma once

#include "core/published/changesmessages.h"

#include <string>
#include <string_view>

namespace wisteriafork {

// Those members of the messages about published changes that are not in their encoding, because nodes of earlier versions do not know them.
// They travel as a text beside the message, which is empty if there is nothing to say, and which those nodes ignore.
std::string encodeDetails(const ChangesRequest &request);
std::string encodeDetails(const ChangesResponse &response);

// Set the members from the text. Unknown and malformed parts are ignored.
void decodeDetails(std::string_view text, ChangesRequest &request);
void decodeDetails(std::string_view text, ChangesResponse &response);

} // namespace wisteriafork
