#pragma once

#include "net/httpmessage.h"

#include <string>
#include <string_view>

namespace wisteriafork {

// Appends "Name: value" lines. Names are written with capitals after hyphens ("Content-Type"), because some old clients compare them with
// regard to case.
void appendHeaderLines(std::string &text, const HttpHeaders &headers);
void appendHeaderLine(std::string &text, std::string_view name, std::string_view value);

struct ResponseHeadOptions
{
    bool answersHead = false;
    bool keepAlive = true;
    bool http10 = false;
};

// Status line and header fields of an answer, with its length and connection fields, up to and including the empty line.
std::string responseHead(const HttpResponse &response, const ResponseHeadOptions &options);
// Request line and header fields of a request, with its length. `extra` replaces fields of the same name.
std::string requestHead(const HttpRequest &request, const HttpHeaders &extra, std::string_view host);
// True if an answer with this status never has a body.
bool isBodiless(unsigned status);

} // namespace wisteriafork
