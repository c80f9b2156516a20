#pragma once

#include "admin/accesstoken.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wisteriafork {

// Finds the configured token that a request presents. It compares digests, which all have the same length, in constant time and
// always goes through all tokens, so that the response time reveals nothing about a secret.
class AccessCheck
{
public:
    // Keeps only digests of the secrets.
    explicit AccessCheck(const std::vector<AccessToken> &tokens);

    // The token whose secret is in an `Authorization` header of the form "Bearer <secret>"; null if the header is empty or malformed or the
    // secret is unknown. The result, whose `secret` is empty, is valid as long as this object.
    const AccessToken *findToken(std::string_view authorization) const;

private:
    using Digest = std::array<std::uint8_t, 32>;

    struct TokenEntry
    {
        Digest digest;
        AccessToken token;
    };

    // SHA-256.
    static Digest digestOf(std::string_view secret);

    std::vector<TokenEntry> m_entries;
};

} // namespace wisteriafork
