#pragma once

#include "net/httplimits.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace wisteriafork {

// Incremental parser for the HTTP/1.1 responses of one connection. Interim responses (1xx) are skipped. A close-delimited response, which
// has neither a length nor chunked coding, is malformed unless allowed, because it is hard to distinguish from a truncated one. A status
// below 100 is malformed. A header that is made of two, because a server broke off one response and went on with the next, is malformed.
class ResponseReader
{
public:
    enum class State : std::uint8_t {
        NeedMore,
        Complete,
        Malformed,
        TooLarge,
    };

    explicit ResponseReader(const HttpLimits &limits, bool allowCloseDelimited = false);
    ~ResponseReader();

    // Prepares for the response to the next request; the response to a HEAD request has no body.
    void start(bool isHeadRequest);
    // Parses bytes from the front of the input and removes the parsed ones. Bytes that remain after `NeedMore` have to be passed again,
    // followed by further input.
    State consume(std::string_view &input);
    // Reports that the server closed the connection without a reset. True if this completes a close-delimited response. Without any byte of
    // a body it does not: the server has probably broken off after the header.
    bool finishAtEof();
    // After `Complete` and before `takeResponse`: value of the header field with this name, ignoring case; empty if there is none.
    std::string_view headerField(std::string_view name) const;
    // After `Complete`: moves the response out, without the header fields that apply to the connection only.
    HttpResponse takeResponse();
    // Size of the body as far as it has been received.
    std::size_t bodyBytes() const;
    // After `Complete`: true if the server keeps the connection open for further requests.
    bool isKeepAlive() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wisteriafork
