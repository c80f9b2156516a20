#pragma once

#include "net/httpmessage.h"

#include <string_view>

namespace wisteriafork {

// Creates a response with the given HTTP status and the JSON body {"error": "<message>"}.
HttpResponse errorResponse(unsigned status, std::string_view message);

} // namespace wisteriafork
