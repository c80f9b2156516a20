#pragma once

#include "net/httpmessage.h"

#include <string>
#include <string_view>

namespace wisteriafork {

// Append header fields as "Name: value" lines. The first letter of a name and letters after hyphens are capitalized ("Content-Type"),
// because some old clients compare names case-sensitively.
void appendHeaderLines(std::string &text, const HttpHeaders &headers);
void appendHeaderLine(std::string &text, std::string_view name, std::string_view value);

struct ResponseHeadOptions
{
    // The response answers a HEAD request, so it has no body.
    bool isHeadRequest = false;
    // The connection stays open after the response.
    bool keepAlive = true;
    // The request used HTTP/1.0, where an open connection has to be announced.
    bool http10 = false;
};

// Formats the status line and the header fields of a response, including `Content-Length` and `Connection`, up to and including the empty
// line.
std::string responseHead(const HttpResponse &response, const ResponseHeadOptions &options);
// Formats the request line and the header fields of a request, including `Content-Length`, up to and including the empty line. Fields in
// `extra` replace fields of the same name; `host` is used if neither has a `Host` field.
std::string requestHead(const HttpRequest &request, const HttpHeaders &extra, std::string_view host);
// True if a response with this status never has a body (RFC 9112, 6.3).
bool isBodiless(unsigned status);

} // namespace wisteriafork
