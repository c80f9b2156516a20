#pragma once

#include "net/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <nghttp2/nghttp2.h>

namespace wisteriafork {

// State of one stream of a session: the incoming message, which is buffered until it is complete, and the outgoing one.
struct Http2Stream
{
    // Incoming message: `request` on the server side, `response` on the client side.
    HttpRequest request;
    HttpResponse response;
    // Size of the incoming header fields, names and values.
    std::size_t headerBytes = 0;
    // Outgoing message: `outgoingRequest` on the client side, `outgoingBody` of the response on the server side.
    std::shared_ptr<const HttpRequest> outgoingRequest;
    std::string outgoingBody;
    std::size_t sentBodyBytes = 0;
    // Shares of the buffer budget of the incoming and the outgoing message; null if they need none.
    std::shared_ptr<BufferReservation> reservation;
    std::shared_ptr<const BufferReservation> outgoingReservation;
    bool headerSent = false;
    // The peer has reset the stream with REFUSED_STREAM.
    bool refusedByPeer = false;
    // The incoming message is complete and was passed to the observer.
    bool complete = false;
    bool responseSubmitted = false;
    // Cancelled by this side.
    bool cancelled = false;
    // The incoming body exceeded its limit, or on the client side the common bound.
    bool bodyTooLarge = false;
    // There was no room for the incoming request.
    bool refused = false;

    // Whole outgoing body, including the part that has been sent.
    std::string_view bodyToSend() const
    {
        return outgoingRequest ? std::string_view(outgoingRequest->body) : std::string_view(outgoingBody);
    }
};

// Converts a header field to the type of nghttp2. The result refers to the given texts.
nghttp2_nv http2Field(std::string_view name, std::string_view value);
// Converts bytes from nghttp2 to a text that refers to them.
std::string_view http2Text(const std::uint8_t *data, std::size_t size);
// Parses a decimal number; false if the text is empty, has other characters than digits or has more than 18 of them.
bool parseHttp2Number(std::string_view text, std::uint64_t &number);

} // namespace wisteriafork
