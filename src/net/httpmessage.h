#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriafork {

// Header fields of a message in their order. Names are kept in lower case.
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    // Adds a field; `name` must be in lower case.
    void add(std::string name, std::string value);
    // Value of the first field with this lower-case name; empty view if there is none.
    std::string_view find(std::string_view name) const;
    bool contains(std::string_view name) const;
    void remove(std::string_view name);
    // Removes all fields that hold for one connection only: `Connection` and those that it names, `Keep-Alive`, `Transfer-Encoding`,
    // `Content-Length`, `TE`, `Trailer`, `Upgrade`, `Expect` and `Proxy-*`.
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

// A whole request. Shared read-only between attempts.
struct HttpRequest
{
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
};

// A whole answer.
struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
    // `Content-Length` of an answer to HEAD, which has no body.
    std::optional<std::uint64_t> headLength;
    // Ask the receiver to close the connection after this answer.
    bool closeConnection = false;
};

} // namespace wisteriafork
