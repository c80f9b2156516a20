#include "net/requestreader.h"

#include "net/asio.h"

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

// Origin form of a target: "http://host/path" becomes "/path".
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

class RequestReader::Private
{
public:
    explicit Private(const HttpLimits &httpLimits) : limits(httpLimits)
    {
        start();
    }

    void start()
    {
        parser.emplace();
        parser->eager(true);
        parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser->body_limit(limits.requestBodyBytes);
        started = false;
        continueTaken = false;
    }

    // The framing of the request is unambiguous: HTTP/1.1 names its host (RFC 9112, 3.2), and a transfer coding other than "chunked" would
    // hide where the body ends (6.1).
    bool headerIsAcceptable() const
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
    bool started = false;
    bool continueTaken = false;
};

RequestReader::RequestReader(const HttpLimits &limits) : d(std::make_unique<Private>(limits))
{
}

RequestReader::~RequestReader() = default;

RequestReader::State RequestReader::consume(std::string_view &input)
{
    while (!input.empty() && !d->parser->is_done()) {
        // Empty lines before a request line are allowed (RFC 9112, 2.2).
        if (!d->started && (input.front() == '\r' || input.front() == '\n')) {
            input.remove_prefix(1);
            continue;
        }
        d->started = true;
        ErrorCode error;
        const std::size_t used = d->parser->put(asio::buffer(input.data(), input.size()), error);
        input.remove_prefix(used);
        if (error == http::error::need_more) {
            return input.size() > d->limits.headerBytes && !d->parser->is_header_done() ? State::HeaderTooLarge : State::NeedMore;
        }
        if (error == http::error::header_limit) {
            return State::HeaderTooLarge;
        }
        if (error == http::error::body_limit) {
            return State::BodyTooLarge;
        }
        if (error || (d->parser->is_header_done() && !d->headerIsAcceptable())) {
            return State::Malformed;
        }
    }
    return d->parser->is_done() ? State::Complete : State::NeedMore;
}

void RequestReader::next()
{
    d->start();
}

bool RequestReader::started() const
{
    return d->started;
}

bool RequestReader::takeExpectsContinue()
{
    if (d->continueTaken || !d->parser->is_header_done() || d->parser->is_done()) {
        return false;
    }
    d->continueTaken = true;
    return toLower(d->parser->get()[http::field::expect]) == "100-continue";
}

HttpRequest RequestReader::takeRequest()
{
    auto &message = d->parser->get();
    HttpRequest request{.method = std::string(message.method_string()), .target = originForm(std::string(message.target()))};
    request.headers.fields().reserve(8);
    for (const auto &field : message) {
        request.headers.add(toLower(field.name_string()), std::string(field.value()));
    }
    request.headers.removeConnectionFields();
    request.body = std::move(message.body());
    return request;
}

bool RequestReader::keepAlive() const
{
    return d->parser->keep_alive();
}

bool RequestReader::isHttp10() const
{
    return d->parser->get().version() < 11;
}

} // namespace wisteriafork
