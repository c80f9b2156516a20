#pragma once

#include "net/asio.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisteriafork {

// Parses an IP address with a port, such as "127.0.0.1:7101" or "[::1]:7101". Empty if the text is malformed; host names are not resolved.
std::optional<Tcp::endpoint> parseEndpoint(std::string_view text);
// Formats an address with its port in the form that `parseEndpoint` reads.
std::string endpointText(const Tcp::endpoint &endpoint);

} // namespace wisteriafork
