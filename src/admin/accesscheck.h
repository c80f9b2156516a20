#pragma once

#include "admin/accesstoken.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriafork {

// Finds the token that a request presents. Compares digests of equal length in constant time and always looks at all tokens, so that the
// time taken tells nothing about a secret.
class AccessCheck
{
public:
    explicit AccessCheck(const std::vector<AccessToken> &tokens);

    // The token of an `Authorization` header of the form "Bearer <secret>"; null if it is missing, malformed or unknown.
    const AccessToken *find(std::string_view authorization) const;

private:
    using Digest = std::array<std::uint8_t, 32>;

    struct Entry
    {
        Digest digest;
        AccessToken token;
    };

    static Digest digestOf(std::string_view secret);

    std::vector<Entry> m_entries;
};

} // namespace wisteriafork
