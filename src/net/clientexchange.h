#pragma once

#include "net/httpmessage.h"

#include <cstdint>
#include <functional>

#include <tl/expected.hpp>

namespace wisteriafork {

// Reason why a request ended without a complete response.
enum class ExchangeError : std::uint8_t {
    // The request was not sent, so it was not executed. It is safe to send it again.
    NotProcessed,
    // The receiver reported that it has not processed the request and will not do so. It is safe to send it again.
    Refused,
    // The connection or stream failed after sending had started. Whether the receiver executed the request is unknown.
    Interrupted,
    // The response is larger than the limit for buffered responses. This side closed the connection or stream.
    ResponseTooLarge,
    // The received bytes are no response. This side closed the connection.
    MalformedResponse,
};

// Receives the complete response or the reason why there is none.
using ResponseHandler = std::function<void(tl::expected<HttpResponse, ExchangeError>)>;

// A request that was submitted and has no response yet.
class ClientExchange
{
public:
    virtual ~ClientExchange() = default;

    // Cancels the request: closes the HTTP/1.1 connection or resets the HTTP/2 stream. The response handler is not called afterwards,
    // unless its call is already in progress on another thread. May be called from any thread.
    virtual void cancel() = 0;
};

} // namespace wisteriafork
