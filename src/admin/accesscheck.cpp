#include "admin/accesscheck.h"

#include <cctype>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace wisteriafork {

namespace {

constexpr std::string_view Scheme = "bearer ";

// The name of the scheme is not case sensitive (RFC 9110).
bool hasScheme(std::string_view authorization)
{
    if (authorization.size() <= Scheme.size()) {
        return false;
    }
    for (std::size_t index = 0; index < Scheme.size(); ++index) {
        if (std::tolower(static_cast<unsigned char>(authorization[index])) != Scheme[index]) {
            return false;
        }
    }
    return true;
}

} // namespace

AccessCheck::AccessCheck(const std::vector<AccessToken> &tokens)
{
    for (const AccessToken &token : tokens) {
        m_entries.push_back({.digest = digestOf(token.secret), .token = token});
        // Only the digest is needed from here on.
        m_entries.back().token.secret.clear();
    }
}

const AccessToken *AccessCheck::find(std::string_view authorization) const
{
    if (!hasScheme(authorization)) {
        return nullptr;
    }
    const Digest presented = digestOf(authorization.substr(Scheme.size()));
    const AccessToken *found = nullptr;
    for (const Entry &entry : m_entries) {
        const bool equal = CRYPTO_memcmp(entry.digest.data(), presented.data(), presented.size()) == 0;
        found = equal ? &entry.token : found;
    }
    return found;
}

AccessCheck::Digest AccessCheck::digestOf(std::string_view secret)
{
    Digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(secret.data()), secret.size(), digest.data());
    return digest;
}

} // namespace wisteriafork
