#pragma once

#include "net/httplimits.h"
#include "net/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace wisteriafork {

// Incremental parser for the HTTP/1.1 requests of one connection. After a complete request, `startNextRequest` has to be called.
class RequestReader
{
public:
    enum class State : std::uint8_t {
        NeedMore,
        Complete,
        Malformed,
        HeaderTooLarge,
        BodyTooLarge,
    };

    explicit RequestReader(const HttpLimits &limits);
    ~RequestReader();

    // Parses bytes from the front of the input and removes the parsed ones. Bytes that remain after `NeedMore` have to be passed again,
    // followed by further input.
    State consume(std::string_view &input);
    // Discards the current request and prepares for the next one.
    void startNextRequest();
    // Sets the bounds of the following requests, beginning with the current one if it has not started.
    void setBounds(std::size_t headerBytes, std::size_t bodyBytes);
    // Size of the body of the current request: the announced length, or what has been received of a body in chunks. 0 before the end of the
    // header.
    std::size_t expectedBodyBytes() const;
    // True if at least one byte of the current request was parsed.
    bool hasStarted() const;
    // True if the sender waits for `100 Continue` before it sends the body. Returns true at most once for each request.
    bool takeExpectContinue();
    // After `Complete`: moves the request out, without the header fields that apply to the connection only.
    HttpRequest takeRequest();
    // After `Complete`: true if the sender accepts further responses on the connection.
    bool isKeepAlive() const;
    bool isHttp10() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wisteriafork
