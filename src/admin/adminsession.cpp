#include "admin/adminsession.h"

#include <optional>
#include <string>
#include <type_traits>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
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

using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

// The response to a request that could not be read; empty if the connection is closed without a response, as after a network error.
std::optional<AdminResponse> readErrorResponse(const error_code &error)
{
    if (error == http::error::body_limit) {
        return errorResponse(413, "body-too-large", "the body is too large");
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return errorResponse(431, "header-too-large", "the header is too large");
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message
        || error.category() != make_error_code(http::error::bad_method).category()) {
        return std::nullopt;
    }
    return errorResponse(400, "malformed-request", "the request is not valid HTTP: " + error.message());
}

template <typename Stream>
class Session : public AdminSession, public std::enable_shared_from_this<Session<Stream>>
{
public:
    template <typename... Arguments>
    Session(std::shared_ptr<asio::ssl::context> tlsContext, std::shared_ptr<const AdminSessionContext> context, Arguments &&...arguments)
        : m_tlsContext(std::move(tlsContext)), m_context(std::move(context)), m_stream(std::forward<Arguments>(arguments)...)
    {
    }

    ~Session() override
    {
        if (m_onClosed) {
            m_onClosed();
        }
    }

    void start(std::function<void()> onClosed) override
    {
        m_onClosed = std::move(onClosed);
        asio::dispatch(m_stream.get_executor(), [self = this->shared_from_this()] { self->startConnection(); });
    }

    void close() override
    {
        asio::post(m_stream.get_executor(), [self = this->shared_from_this()] { self->tcpStream().close(); });
    }

private:
    beast::tcp_stream &tcpStream()
    {
        return beast::get_lowest_layer(m_stream);
    }

    void startConnection()
    {
        error_code error;
        const auto remote = tcpStream().socket().remote_endpoint(error);
        m_clientAddress = error ? "unknown" : remote.address().to_string();
        if constexpr (std::is_same_v<Stream, TlsStream>) {
            tcpStream().expires_after(m_context->options.requestTimeout);
            m_stream.async_handshake(asio::ssl::stream_base::server, [self = this->shared_from_this()](const error_code &failure) {
                if (!failure) {
                    self->readRequest();
                }
            });
        } else {
            readRequest();
        }
    }

    void readRequest()
    {
        m_parser.emplace();
        m_parser->body_limit(m_context->options.maximumBodyBytes);
        m_parser->header_limit(static_cast<std::uint32_t>(m_context->options.maximumHeaderBytes));
        tcpStream().expires_after(m_context->options.requestTimeout);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = this->shared_from_this()](const error_code &error, std::size_t) { self->onRead(error); });
    }

    void onRead(const error_code &error)
    {
        AdminRequest request;
        const auto &message = m_parser->get();
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        if (error) {
            if (auto response = readErrorResponse(error)) {
                writeResponse(request, *std::move(response), false);
            }
            return;
        }
        request.authorization = std::string(message[http::field::authorization]);
        request.body = message.body();
        writeResponse(request, m_context->handler.handle(request), message.keep_alive());
    }

    void logRequest(const AdminRequest &request, const AdminResponse &response)
    {
        const std::string path = request.target.substr(0, request.target.find('?')).substr(0, 200);
        if (response.errorCode.empty()) {
            m_context->log.write(EventNumber::AdministrationServed,
                                 {response.tokenName, request.method, path, std::to_string(response.status)});
        } else {
            m_context->log.write(EventNumber::AdministrationDenied, {m_clientAddress, request.method, path, response.errorCode});
        }
    }

    void writeResponse(const AdminRequest &request, AdminResponse response, bool keepAlive)
    {
        logRequest(request, response);
        m_response = http::response<http::string_body>(static_cast<http::status>(response.status), 11);
        m_response.set(http::field::content_type, response.contentType);
        m_response.set(http::field::cache_control, "no-store");
        for (const auto &[name, value] : response.headers) {
            m_response.set(name, value);
        }
        m_response.body() = std::move(response.body);
        m_response.keep_alive(keepAlive);
        m_response.prepare_payload();
        tcpStream().expires_after(m_context->options.requestTimeout);
        http::async_write(m_stream, m_response,
                          [self = this->shared_from_this()](const error_code &error, std::size_t) { self->onWritten(error); });
    }

    void onWritten(const error_code &error)
    {
        if (error) {
            return;
        }
        if (m_response.keep_alive()) {
            readRequest();
            return;
        }
        shutdown();
    }

    void shutdown()
    {
        if constexpr (std::is_same_v<Stream, TlsStream>) {
            tcpStream().expires_after(m_context->options.requestTimeout);
            m_stream.async_shutdown([self = this->shared_from_this()](const error_code &) {});
        } else {
            error_code ignored;
            tcpStream().socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            discardInput();
        }
    }

    // Reads and drops the data that the client still sends, up to the timeout and four times the body limit. Closing the socket with unread
    // data would reset the connection, possibly before the client has read the response.
    void discardInput()
    {
        m_buffer.clear();
        tcpStream().expires_after(m_context->options.requestTimeout);
        m_stream.async_read_some(m_buffer.prepare(4096), [self = this->shared_from_this()](const error_code &error, std::size_t size) {
            self->m_discardedBytes += size;
            if (!error && self->m_discardedBytes <= 4 * self->m_context->options.maximumBodyBytes) {
                self->discardInput();
            }
        });
    }

    std::shared_ptr<asio::ssl::context> m_tlsContext;
    std::shared_ptr<const AdminSessionContext> m_context;
    Stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::string m_clientAddress;
    std::size_t m_discardedBytes = 0;
    std::function<void()> m_onClosed;
};

} // namespace

std::shared_ptr<AdminSession> makeAdminSession(asio::ip::tcp::socket socket, std::shared_ptr<asio::ssl::context> tlsContext,
                                               std::shared_ptr<const AdminSessionContext> context)
{
    if (tlsContext) {
        asio::ssl::context &tlsContextReference = *tlsContext;
        return std::make_shared<Session<TlsStream>>(std::move(tlsContext), std::move(context), std::move(socket), tlsContextReference);
    }
    return std::make_shared<Session<PlainStream>>(nullptr, std::move(context), std::move(socket));
}

} // namespace wisteriafork
