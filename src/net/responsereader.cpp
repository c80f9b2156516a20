#include "net/responsereader.h"

#include "net/asio.h"

#include <algorithm>
#include <cctype>
#include <optional>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wisteriafork {

namespace http = boost::beast::http;

namespace {

// Interim responses (1xx) that are skipped before a response.
constexpr unsigned MaxInterimResponses = 16;
// Lowest status that the protocol defines.
constexpr unsigned FirstStatus = 100;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

// True if the text contains the beginning of a status line, for example "HTTP/1.1 200".
bool containsStatusLine(boost::beast::string_view text)
{
    constexpr boost::beast::string_view Protocol = "HTTP/";
    for (std::size_t start = text.find(Protocol); start != boost::beast::string_view::npos; start = text.find(Protocol, start + 1)) {
        const boost::beast::string_view rest = text.substr(start + Protocol.size());
        if (rest.size() >= 7 && isDigit(rest[0]) && rest[1] == '.' && isDigit(rest[2]) && rest[3] == ' ' && isDigit(rest[4])
            && isDigit(rest[5]) && isDigit(rest[6])) {
            return true;
        }
    }
    return false;
}

} // namespace

class ResponseReader::Impl
{
public:
    void start()
    {
        parser.emplace();
        parser->eager(true);
        parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser->body_limit(limits.responseBodyBytes);
        parser->skip(isHeadRequest);
    }

    State stateFor(const ErrorCode &error) const
    {
        if (error == http::error::need_more) {
            return State::NeedMore;
        }
        return error == http::error::body_limit ? State::TooLarge : State::Malformed;
    }

    bool hasUnknownTransferCoding() const
    {
        const auto &message = parser->get();
        return message.find(http::field::transfer_encoding) != message.end() && !parser->chunked();
    }

    // True if the header was cut off and continues with that of another response. Its fields then belong to two responses.
    bool isJoinedHeader() const
    {
        const auto &message = parser->get();
        return containsStatusLine(message.reason())
            || std::any_of(message.begin(), message.end(), [](const auto &field) { return containsStatusLine(field.value()); });
    }

    bool isDelimited() const
    {
        const unsigned status = parser->get().result_int();
        return parser->chunked() || parser->content_length() || isHeadRequest || status == 204 || status == 304;
    }

    HttpLimits limits;
    bool allowCloseDelimited = false;
    std::optional<http::response_parser<http::string_body>> parser;
    bool isHeadRequest = false;
    unsigned interimResponses = 0;
};

ResponseReader::ResponseReader(const HttpLimits &limits, bool allowCloseDelimited) : m_impl(std::make_unique<Impl>())
{
    m_impl->limits = limits;
    m_impl->allowCloseDelimited = allowCloseDelimited;
    start(false);
}

ResponseReader::~ResponseReader() = default;

void ResponseReader::start(bool isHeadRequest)
{
    m_impl->isHeadRequest = isHeadRequest;
    m_impl->interimResponses = 0;
    m_impl->start();
}

ResponseReader::State ResponseReader::consume(std::string_view &input)
{
    while (!input.empty() && !m_impl->parser->is_done()) {
        ErrorCode error;
        const std::size_t consumed = m_impl->parser->put(asio::buffer(input.data(), input.size()), error);
        input.remove_prefix(consumed);
        if (error) {
            return m_impl->stateFor(error);
        }
        if (!m_impl->parser->is_header_done()) {
            continue;
        }
        if (m_impl->isJoinedHeader()) {
            return State::Malformed;
        }
        const unsigned status = m_impl->parser->get().result_int();
        if (status < FirstStatus) {
            return State::Malformed;
        }
        if (status < 200 && status != 101) {
            if (++m_impl->interimResponses > MaxInterimResponses) {
                return State::Malformed;
            }
            if (m_impl->parser->is_done()) {
                m_impl->start();
            }
        } else if (status == 101 || status > 599 || m_impl->hasUnknownTransferCoding()
                   || !(m_impl->allowCloseDelimited || m_impl->isDelimited())) {
            return State::Malformed;
        }
    }
    return m_impl->parser->is_done() ? State::Complete : State::NeedMore;
}

bool ResponseReader::finishAtEof()
{
    if (!m_impl->allowCloseDelimited || !m_impl->parser->is_header_done() || m_impl->isDelimited() || bodyBytes() == 0) {
        return false;
    }
    ErrorCode error;
    m_impl->parser->put_eof(error);
    return !error && m_impl->parser->is_done();
}

std::string_view ResponseReader::headerField(std::string_view name) const
{
    const auto found = m_impl->parser->get().find(boost::beast::string_view(name.data(), name.size()));
    return found == m_impl->parser->get().end() ? std::string_view() : std::string_view(found->value().data(), found->value().size());
}

HttpResponse ResponseReader::takeResponse()
{
    auto &message = m_impl->parser->get();
    HttpResponse response{.status = message.result_int()};
    response.headers.fields().reserve(8);
    for (const auto &field : message) {
        std::string name(field.name_string());
        for (char &c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        response.headers.add(std::move(name), std::string(field.value()));
    }
    if (m_impl->isHeadRequest && m_impl->parser->content_length()) {
        response.headContentLength = *m_impl->parser->content_length();
    }
    response.headers.removeConnectionFields();
    response.body = std::move(message.body());
    return response;
}

std::size_t ResponseReader::bodyBytes() const
{
    return m_impl->parser->get().body().size();
}

bool ResponseReader::isKeepAlive() const
{
    return m_impl->parser->keep_alive();
}

} // namespace wisteriafork
