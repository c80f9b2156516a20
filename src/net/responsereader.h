#pragma once

#include "net/httplimits.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace wisteriafork {

// Parses HTTP/1.1 answers incrementally from arbitrary bytes. Interim answers (1xx) are skipped. An answer that ends with the connection,
// without length or chunked coding, counts as malformed unless it is allowed, because it is hard to tell from a truncated one.
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

    // Prepares for the answer to a request.
    void start(bool answersHead);
    // Parses bytes from the front of the input and removes what it has used.
    State consume(std::string_view &input);
    // The sender closed its half of the connection in order. True if that completes the answer.
    bool finishAtEnd();
    // Value of a header field after `Complete`, before `takeResponse`; `name` in any case. Empty if there is none.
    std::string_view field(std::string_view name) const;
    // After `Complete`: the answer without fields that concern the connection.
    HttpResponse takeResponse();
    bool keepAlive() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
