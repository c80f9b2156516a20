#pragma once

#include "net/httplimits.h"
#include "net/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace wisteriafork {

// Parses HTTP/1.1 requests incrementally from arbitrary bytes. After each complete request, `next` starts the following one.
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

    // Parses bytes from the front of the input and removes what it has used.
    State consume(std::string_view &input);
    // Prepares for the following request.
    void next();
    // True after the first byte of a request, until `next`.
    bool started() const;
    // True once if the header is complete and the sender waits for `100 Continue`.
    bool takeExpectsContinue();
    // After `Complete`: the request without fields that concern the connection.
    HttpRequest takeRequest();
    bool keepAlive() const;
    bool isHttp10() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
