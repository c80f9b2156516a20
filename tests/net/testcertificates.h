#pragma once

#include "net/tlscontext.h"

#include <memory>
#include <string>

#include <openssl/evp.h>
#include <openssl/x509.h>

namespace wisteriafork {

// Certificate authority for one test. It signs certificates of nodes and writes them to a temporary directory, which it removes at the end.
class TestAuthority
{
public:
    explicit TestAuthority(const std::string &name);
    ~TestAuthority();
    TestAuthority(const TestAuthority &) = delete;
    TestAuthority &operator=(const TestAuthority &) = delete;

    // Creates the key and certificate of a node with this name. `trusted` is the authority whose certificates the node accepts.
    TlsFiles issue(const std::string &name, const TestAuthority &trusted) const;

private:
    using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
    using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;

    static Certificate sign(const std::string &subject, EVP_PKEY *subjectKey, const std::string &issuer, EVP_PKEY *issuerKey,
                            bool authority);

    std::string m_name;
    std::string m_directory;
    Key m_key;
    Certificate m_certificate;
};

} // namespace wisteriafork
