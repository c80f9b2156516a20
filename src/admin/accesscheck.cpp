#include "admin/accesscheck.h"

#include <cctype>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace wisteriafork {

namespace {

constexpr std::string_view SchemePrefix = "bearer ";

// The scheme is not case sensitive (RFC 9110).
bool hasBearerScheme(std::string_view authorization)
{
    if (authorization.size() <= SchemePrefix.size()) {
        return false;
    }
    for (std::size_t index = 0; index < SchemePrefix.size(); ++index) {
        if (std::tolower(static_cast<unsigned char>(authorization[index])) != SchemePrefix[index]) {
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
        // Only the digest is kept.
        m_entries.back().token.secret.clear();
    }
}

const AccessToken *AccessCheck::findToken(std::string_view authorization) const
{
    if (!hasBearerScheme(authorization)) {
        return nullptr;
    }
    const Digest presentedDigest = digestOf(authorization.substr(SchemePrefix.size()));
    const AccessToken *found = nullptr;
    for (const TokenEntry &entry : m_entries) {
        const bool equal = CRYPTO_memcmp(entry.digest.data(), presentedDigest.data(), presentedDigest.size()) == 0;
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
