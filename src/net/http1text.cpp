#include "net/http1text.h"

#include <cctype>
#include <charconv>

namespace wisteriafork {

namespace {

std::string_view reasonPhrase(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 302:
        return "Found";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void appendNumber(std::string &text, std::uint64_t number)
{
    char digits[20];
    const auto end = std::to_chars(digits, digits + sizeof(digits), number).ptr;
    text.append(digits, end);
}

void appendContentLength(std::string &text, std::uint64_t length)
{
    text += "Content-Length: ";
    appendNumber(text, length);
    text += "\r\n";
}

} // namespace

bool isBodiless(unsigned status)
{
    return status < 200 || status == 204 || status == 304;
}

void appendHeaderLine(std::string &text, std::string_view name, std::string_view value)
{
    bool capital = true;
    for (const char c : name) {
        text.push_back(capital ? static_cast<char>(std::toupper(static_cast<unsigned char>(c))) : c);
        capital = c == '-';
    }
    text += ": ";
    text += value;
    text += "\r\n";
}

void appendHeaderLines(std::string &text, const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers.fields()) {
        appendHeaderLine(text, name, value);
    }
}

std::string responseHead(const HttpResponse &response, const ResponseHeadOptions &options)
{
    std::string head;
    head.reserve(256);
    head += "HTTP/1.1 ";
    appendNumber(head, response.status);
    head += ' ';
    head += reasonPhrase(response.status);
    head += "\r\n";
    appendHeaderLines(head, response.headers);
    if (options.isHeadRequest) {
        if (response.headContentLength || !response.body.empty()) {
            appendContentLength(head, response.headContentLength.value_or(response.body.size()));
        }
    } else if (!isBodiless(response.status)) {
        appendContentLength(head, response.body.size());
    }
    if (!options.keepAlive) {
        head += "Connection: close\r\n";
    } else if (options.http10) {
        head += "Connection: keep-alive\r\n";
    }
    head += "\r\n";
    return head;
}

std::string requestHead(const HttpRequest &request, const HttpHeaders &extra, std::string_view host)
{
    std::string head;
    head.reserve(512);
    head += request.method;
    head += ' ';
    head += request.target;
    head += " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers.fields()) {
        if (!extra.contains(name)) {
            appendHeaderLine(head, name, value);
        }
    }
    appendHeaderLines(head, extra);
    if (!request.headers.contains("host") && !extra.contains("host")) {
        appendHeaderLine(head, "host", host);
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        appendContentLength(head, request.body.size());
    }
    head += "\r\n";
    return head;
}

} // namespace wisteriafork
