#pragma once

#include "net/bufferbudget.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriafork {

// Header fields of a message in the order in which they are sent. Names are in lower case; a name may occur more than once.
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    // Appends a field; `name` must be in lower case.
    void add(std::string name, std::string value);
    // Value of the first field with this lower-case name; empty view if there is none.
    std::string_view find(std::string_view name) const;
    bool contains(std::string_view name) const;
    // Removes all fields with this lower-case name.
    void remove(std::string_view name);
    // Removes the fields that apply to one connection only and must not be forwarded (RFC 9110, 7.6.1): `Connection` and those that it
    // names, `Keep-Alive`, `Transfer-Encoding`, `Content-Length`, `TE`, `Trailer`, `Upgrade`, `Expect` and `Proxy-*`.
    void removeConnectionFields();

    const std::vector<Field> &fields() const
    {
        return m_fields;
    }

    std::vector<Field> &fields()
    {
        return m_fields;
    }

private:
    std::vector<Field> m_fields;
};

// A complete request. The attempts of one call share it read-only.
struct HttpRequest
{
    std::string method;
    // Request target in origin form: path and query.
    std::string target;
    HttpHeaders headers;
    std::string body;
    // Share of the buffer budget that is held as long as the request; may be null.
    std::shared_ptr<const BufferReservation> reservation = nullptr;
};

// A complete response.
struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
    // `Content-Length` of the response to a HEAD request, which has no body.
    std::optional<std::uint64_t> headContentLength;
    // Server side: close the connection after this response.
    bool closeConnection = false;
    // Share of the buffer budget that is held as long as the response; may be null.
    std::shared_ptr<const BufferReservation> reservation = nullptr;
};

} // namespace wisteriafork
