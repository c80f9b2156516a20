#pragma once

#include "net/asio.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisteriafork {

// Parses "127.0.0.1:7101" or "[::1]:7101". Names are not resolved; empty if the text is no IP address with a port.
std::optional<Tcp::endpoint> parseEndpoint(std::string_view text);
// The text that is parsed to this address.
std::string endpointText(const Tcp::endpoint &endpoint);

} // namespace wisteriafork
