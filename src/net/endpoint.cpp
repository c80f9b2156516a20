#include "net/endpoint.h"

#include <charconv>
#include <cstdint>
#include <sstream>

namespace wisteriafork {

std::optional<Tcp::endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, numberError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    ErrorCode error;
    const asio::ip::address address = asio::ip::make_address(std::string(host), error);
    if (error || numberError != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return Tcp::endpoint(address, port);
}

std::string endpointText(const Tcp::endpoint &endpoint)
{
    std::ostringstream stream;
    stream << endpoint;
    return stream.str();
}

} // namespace wisteriafork
