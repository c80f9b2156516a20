#include "net/responsereader.h"

#include "net/asio.h"

#include <cctype>
#include <optional>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wisteriafork {

namespace http = boost::beast::http;

class ResponseReader::Private
{
public:
    void start()
    {
        parser.emplace();
        parser->eager(true);
        parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser->body_limit(limits.responseBodyBytes);
        parser->skip(answersHead);
    }

    State stateFor(const ErrorCode &error) const
    {
        if (error == http::error::need_more) {
            return State::NeedMore;
        }
        return error == http::error::body_limit ? State::TooLarge : State::Malformed;
    }

    bool hasUnknownCoding() const
    {
        const auto &message = parser->get();
        return message.find(http::field::transfer_encoding) != message.end() && !parser->chunked();
    }

    bool isDelimited() const
    {
        const unsigned status = parser->get().result_int();
        return parser->chunked() || parser->content_length() || answersHead || status == 204 || status == 304;
    }

    HttpLimits limits;
    bool allowCloseDelimited = false;
    std::optional<http::response_parser<http::string_body>> parser;
    bool answersHead = false;
};

ResponseReader::ResponseReader(const HttpLimits &limits, bool allowCloseDelimited) : d(std::make_unique<Private>())
{
    d->limits = limits;
    d->allowCloseDelimited = allowCloseDelimited;
    start(false);
}

ResponseReader::~ResponseReader() = default;

void ResponseReader::start(bool answersHead)
{
    d->answersHead = answersHead;
    d->start();
}

ResponseReader::State ResponseReader::consume(std::string_view &input)
{
    while (!input.empty() && !d->parser->is_done()) {
        ErrorCode error;
        const std::size_t used = d->parser->put(asio::buffer(input.data(), input.size()), error);
        input.remove_prefix(used);
        if (error) {
            return d->stateFor(error);
        }
        if (!d->parser->is_header_done()) {
            continue;
        }
        const unsigned status = d->parser->get().result_int();
        if (status < 200 && status != 101) {
            if (d->parser->is_done()) {
                d->start();
            }
        } else if (status == 101 || status > 599 || d->hasUnknownCoding() || !(d->allowCloseDelimited || d->isDelimited())) {
            return State::Malformed;
        }
    }
    return d->parser->is_done() ? State::Complete : State::NeedMore;
}

bool ResponseReader::finishAtEnd()
{
    if (!d->allowCloseDelimited || !d->parser->is_header_done() || d->isDelimited()) {
        return false;
    }
    ErrorCode error;
    d->parser->put_eof(error);
    return !error && d->parser->is_done();
}

std::string_view ResponseReader::field(std::string_view name) const
{
    const auto found = d->parser->get().find(boost::beast::string_view(name.data(), name.size()));
    return found == d->parser->get().end() ? std::string_view() : std::string_view(found->value().data(), found->value().size());
}

HttpResponse ResponseReader::takeResponse()
{
    auto &message = d->parser->get();
    HttpResponse response{.status = message.result_int()};
    response.headers.fields().reserve(8);
    for (const auto &field : message) {
        std::string name(field.name_string());
        for (char &c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        response.headers.add(std::move(name), std::string(field.value()));
    }
    if (d->answersHead && d->parser->content_length()) {
        response.headLength = *d->parser->content_length();
    }
    response.headers.removeConnectionFields();
    response.body = std::move(message.body());
    return response;
}

bool ResponseReader::keepAlive() const
{
    return d->parser->keep_alive();
}

} // namespace wisteriafork
