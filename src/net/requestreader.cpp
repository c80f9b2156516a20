#include "net/requestreader.h"

#include "net/asio.h"

#include <algorithm>
#include <cctype>
#include <optional>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wisteriafork {

namespace http = boost::beast::http;

namespace {

std::string toLower(boost::beast::string_view text)
{
    std::string lower(text);
    for (char &c : lower) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return lower;
}

// Converts a request target to origin form: "http://host/path" becomes "/path".
std::string originForm(std::string target)
{
    const std::size_t scheme = target.find("://");
    if (target.starts_with('/') || scheme == std::string::npos) {
        return target;
    }
    const std::size_t path = target.find('/', scheme + 3);
    return path == std::string::npos ? "/" : target.substr(path);
}

} // namespace

class RequestReader::Impl
{
public:
    explicit Impl(const HttpLimits &httpLimits) : limits(httpLimits)
    {
        reset();
    }

    void reset()
    {
        parser.emplace();
        parser->eager(true);
        parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser->body_limit(limits.requestBodyBytes);
        started = false;
        expectReported = false;
    }

    // False if the request must be rejected: HTTP/1.1 requires exactly one `Host` field (RFC 9112, 3.2), and the end of the body is unknown
    // if the last transfer coding is not "chunked" (6.1).
    bool isHeaderAcceptable() const
    {
        const auto &message = parser->get();
        const auto hosts = message.equal_range(http::field::host);
        const auto hostCount = std::distance(hosts.first, hosts.second);
        if (hostCount > 1 || (hostCount == 0 && message.version() >= 11)) {
            return false;
        }
        return message.find(http::field::transfer_encoding) == message.end() || parser->chunked();
    }

    HttpLimits limits;
    std::optional<http::request_parser<http::string_body>> parser;
    // At least one byte of the request was parsed.
    bool started = false;
    // `takeExpectContinue` has been evaluated for the request.
    bool expectReported = false;
};

RequestReader::RequestReader(const HttpLimits &limits) : m_impl(std::make_unique<Impl>(limits))
{
}

RequestReader::~RequestReader() = default;

RequestReader::State RequestReader::consume(std::string_view &input)
{
    while (!input.empty() && !m_impl->parser->is_done()) {
        // Empty lines before a request line are allowed (RFC 9112, 2.2).
        if (!m_impl->started && (input.front() == '\r' || input.front() == '\n')) {
            input.remove_prefix(1);
            continue;
        }
        m_impl->started = true;
        ErrorCode error;
        const std::size_t consumed = m_impl->parser->put(asio::buffer(input.data(), input.size()), error);
        input.remove_prefix(consumed);
        if (error == http::error::need_more) {
            return input.size() > m_impl->limits.headerBytes && !m_impl->parser->is_header_done() ? State::HeaderTooLarge : State::NeedMore;
        }
        if (error == http::error::header_limit) {
            return State::HeaderTooLarge;
        }
        if (error == http::error::body_limit) {
            return State::BodyTooLarge;
        }
        if (error || (m_impl->parser->is_header_done() && !m_impl->isHeaderAcceptable())) {
            return State::Malformed;
        }
    }
    return m_impl->parser->is_done() ? State::Complete : State::NeedMore;
}

void RequestReader::startNextRequest()
{
    m_impl->reset();
}

void RequestReader::setBounds(std::size_t headerBytes, std::size_t bodyBytes)
{
    const bool unchanged = m_impl->limits.headerBytes == headerBytes && m_impl->limits.requestBodyBytes == bodyBytes;
    if (unchanged || m_impl->started) {
        return;
    }
    m_impl->limits.headerBytes = headerBytes;
    m_impl->limits.requestBodyBytes = bodyBytes;
    m_impl->reset();
}

std::size_t RequestReader::expectedBodyBytes() const
{
    if (!m_impl->parser->is_header_done()) {
        return 0;
    }
    const std::size_t received = m_impl->parser->get().body().size();
    return std::max<std::size_t>(received, m_impl->parser->content_length().value_or(0));
}

bool RequestReader::hasStarted() const
{
    return m_impl->started;
}

bool RequestReader::takeExpectContinue()
{
    if (m_impl->expectReported || !m_impl->parser->is_header_done() || m_impl->parser->is_done()) {
        return false;
    }
    m_impl->expectReported = true;
    return toLower(m_impl->parser->get()[http::field::expect]) == "100-continue";
}

HttpRequest RequestReader::takeRequest()
{
    auto &message = m_impl->parser->get();
    HttpRequest request{.method = std::string(message.method_string()), .target = originForm(std::string(message.target()))};
    request.headers.fields().reserve(8);
    for (const auto &field : message) {
        request.headers.add(toLower(field.name_string()), std::string(field.value()));
    }
    request.headers.removeConnectionFields();
    request.body = std::move(message.body());
    return request;
}

bool RequestReader::isKeepAlive() const
{
    return m_impl->parser->keep_alive();
}

bool RequestReader::isHttp10() const
{
    return m_impl->parser->get().version() < 11;
}

} // namespace wisteriafork
