#pragma once

#include "net/httpmessage.h"

#include <cstdint>
#include <functional>

#include <tl/expected.hpp>

namespace wisteriafork {

// Why a sent request got no whole answer.
enum class ExchangeError : std::uint8_t {
    // Nothing of the request left this process, or the receiver said that it did not process it.
    NotProcessed,
    // The connection or stream broke after the request was sent.
    Interrupted,
    // The answer is larger than the buffering limit.
    ResponseTooLarge,
};

using ResponseHandler = std::function<void(tl::expected<HttpResponse, ExchangeError>)>;

// A request that was sent and has no answer yet.
class ClientExchange
{
public:
    virtual ~ClientExchange() = default;

    // Gives up on the answer: closes the HTTP/1.1 connection or resets the HTTP/2 stream. The handler is not called afterwards, unless the
    // call is already in progress on another thread. May be called from any thread.
    virtual void cancel() = 0;
};

} // namespace wisteriafork
