#pragma once

#include "net/httplimits.h"
#include "net/httpmessage.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace wisteriafork {

// Parses HTTP/1.1 answers incrementally from arbitrary bytes. Interim answers (1xx) are skipped. An answer that ends with the connection,
// without length or chunked coding, counts as malformed, because it cannot be told from a truncated one.
class ResponseReader
{
public:
    enum class State : std::uint8_t {
        NeedMore,
        Complete,
        Malformed,
        TooLarge,
    };

    explicit ResponseReader(const HttpLimits &limits);
    ~ResponseReader();

    // Prepares for the answer to a request.
    void start(bool answersHead);
    // Parses bytes from the front of the input and removes what it has used.
    State consume(std::string_view &input);
    // After `Complete`: the answer without fields that concern the connection.
    HttpResponse takeResponse();
    bool keepAlive() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
