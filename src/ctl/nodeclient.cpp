#include "ctl/nodeclient.h"

// Asio 1.74 uses std::exchange without this header, which g++ 12 reports in C++20 mode.
#include <utility>

#include <optional>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

namespace wisteriafork {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::uint64_t MaxResponseBytes = 256'000'000;

// Address and transport of a node, parsed from its URL.
struct NodeAddress
{
    bool tls = false;
    std::string host;
    std::string port;
};

// Parses a URL of the form http://host:port or https://host:port. An IPv6 address is in brackets.
std::optional<NodeAddress> parseUrl(std::string url)
{
    NodeAddress address;
    if (url.starts_with("https://")) {
        address.tls = true;
    } else if (!url.starts_with("http://")) {
        return std::nullopt;
    }
    url.erase(0, address.tls ? 8 : 7);
    if (url.ends_with('/')) {
        url.pop_back();
    }
    const std::size_t colon = url.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == url.size() || url.find('/') != std::string::npos) {
        return std::nullopt;
    }
    address.host = url.substr(0, colon);
    address.port = url.substr(colon + 1);
    if (address.host.starts_with('[') && address.host.ends_with(']')) {
        address.host = address.host.substr(1, address.host.size() - 2);
    }
    return address;
}

// Sends one request on a new connection and reads the response. The operations are asynchronous because the timeouts of Beast apply only to
// asynchronous operations; each one completes before the next one starts.
class HttpExchange
{
public:
    HttpExchange(const NodeClientOptions &options, NodeAddress address) : m_options(options), m_address(std::move(address))
    {
    }

    tl::expected<NodeResponse, std::string> run(const http::request<http::string_body> &request)
    {
        return m_address.tls ? runTls(request) : runPlaintext(request);
    }

private:
    // Starts one asynchronous operation and blocks until it completes.
    template <typename StartOperation>
    error_code runOperation(StartOperation startOperation)
    {
        error_code result = asio::error::operation_aborted;
        startOperation([&result](error_code error, auto &&...) { result = error; });
        m_context.restart();
        m_context.run();
        return result;
    }

    // Returns an error message, or an empty text once the connection is established. The timeout starts here and covers the whole exchange.
    std::string connect(beast::tcp_stream &stream)
    {
        error_code error;
        asio::ip::tcp::resolver resolver(m_context);
        const auto endpoints = resolver.resolve(m_address.host, m_address.port, error);
        if (error) {
            return "cannot resolve " + m_address.host + ": " + error.message();
        }
        stream.expires_after(m_options.timeout);
        error = runOperation([&](auto handler) { stream.async_connect(endpoints, std::move(handler)); });
        return error ? "cannot connect to " + m_options.url + ": " + error.message() : "";
    }

    template <typename Stream>
    tl::expected<NodeResponse, std::string> sendAndReceive(Stream &stream, const http::request<http::string_body> &request)
    {
        error_code error = runOperation([&](auto handler) { http::async_write(stream, request, std::move(handler)); });
        if (error) {
            return tl::unexpected("cannot send to " + m_options.url + ": " + error.message());
        }
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxResponseBytes);
        error = runOperation([&](auto handler) { http::async_read(stream, buffer, parser, std::move(handler)); });
        if (error) {
            return tl::unexpected("incomplete answer from " + m_options.url + ": " + error.message());
        }
        return NodeResponse{.status = parser.get().result_int(), .body = std::move(parser.get().body())};
    }

    tl::expected<NodeResponse, std::string> runPlaintext(const http::request<http::string_body> &request)
    {
        beast::tcp_stream stream(m_context);
        std::string connectError = connect(stream);
        if (!connectError.empty()) {
            return tl::unexpected(std::move(connectError));
        }
        return sendAndReceive(stream, request);
    }

    tl::expected<NodeResponse, std::string> runTls(const http::request<http::string_body> &request)
    {
        asio::ssl::context tlsContext(asio::ssl::context::tls_client);
        error_code error;
        if (m_options.caFile.empty()) {
            tlsContext.set_default_verify_paths(error);
        } else {
            tlsContext.load_verify_file(m_options.caFile, error);
        }
        if (error) {
            return tl::unexpected("cannot use the certificate authority: " + error.message());
        }
        beast::ssl_stream<beast::tcp_stream> stream(m_context, tlsContext);
        stream.set_verify_mode(asio::ssl::verify_peer);
        stream.set_verify_callback(asio::ssl::host_name_verification(m_address.host));
        // RFC 6066 does not permit an IP address as server name.
        asio::ip::make_address(m_address.host, error);
        if (error) {
            SSL_set_tlsext_host_name(stream.native_handle(), m_address.host.c_str());
        }
        std::string connectError = connect(beast::get_lowest_layer(stream));
        if (!connectError.empty()) {
            return tl::unexpected(std::move(connectError));
        }
        error = runOperation([&](auto handler) { stream.async_handshake(asio::ssl::stream_base::client, std::move(handler)); });
        if (error) {
            return tl::unexpected("TLS handshake with " + m_options.url + " failed: " + error.message());
        }
        return sendAndReceive(stream, request);
    }

    const NodeClientOptions &m_options;
    NodeAddress m_address;
    asio::io_context m_context;
};

} // namespace

tl::expected<NodeResponse, std::string> sendNodeRequest(const NodeClientOptions &options, const std::string &method,
                                                        const std::string &target, const std::string &body)
{
    const std::optional<NodeAddress> address = parseUrl(options.url);
    if (!address) {
        return tl::unexpected("\"" + options.url + "\" is not of the form http://host:port or https://host:port");
    }
    http::request<http::string_body> request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, address->host + ":" + address->port);
    request.set(http::field::connection, "close");
    if (!options.token.empty()) {
        request.set(http::field::authorization, "Bearer " + options.token);
    }
    request.body() = body;
    request.prepare_payload();
    return HttpExchange(options, *address).run(request);
}

} // namespace wisteriafork
