#pragma once

#include "net/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <nghttp2/nghttp2.h>

namespace wisteriafork {

// A stream of a session with the message that is collected and the one that is sent.
struct Http2Stream
{
    // Collected message. Request fields are used on the server side, the others on the client side.
    HttpRequest request;
    HttpResponse response;
    std::size_t headerBytes = 0;
    // Message to send.
    std::shared_ptr<const HttpRequest> outgoingRequest;
    std::string outgoingBody;
    std::size_t sent = 0;
    bool headerSent = false;
    bool complete = false;
    bool answered = false;
    bool cancelled = false;
    bool tooLarge = false;

    std::string_view body() const
    {
        return outgoingRequest ? std::string_view(outgoingRequest->body) : std::string_view(outgoingBody);
    }
};

// Header field in the form that nghttp2 takes. The texts must outlive its use.
nghttp2_nv http2Field(std::string_view name, std::string_view value);
std::string_view http2Text(const std::uint8_t *data, std::size_t size);
// Parses a decimal number; false if the text is none or too long.
bool parseHttp2Number(std::string_view text, std::uint64_t &number);

} // namespace wisteriafork
