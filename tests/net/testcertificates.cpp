#include "testcertificates.h"

#include <cstdio>
#include <filesystem>

#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace wisteriafork {

namespace {

constexpr long ValidSeconds = 3600;

std::string makeDirectory()
{
    std::string name = std::filesystem::temp_directory_path() / "wisteriafork-tls-XXXXXX";
    return mkdtemp(name.data()) == nullptr ? std::string() : name;
}

void setName(X509_NAME *name, const std::string &text)
{
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>(text.c_str()), -1, -1, 0);
}

template <typename Write>
std::string writeFile(const std::string &name, Write write)
{
    std::FILE *file = std::fopen(name.c_str(), "w");
    write(file);
    std::fclose(file);
    return name;
}

} // namespace

TestAuthority::TestAuthority(const std::string &name)
    : m_name(name)
    , m_directory(makeDirectory())
    , m_key(EVP_EC_gen("P-256"), EVP_PKEY_free)
    , m_certificate(sign(name, m_key.get(), name, m_key.get(), true))
{
}

TestAuthority::~TestAuthority()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

TestAuthority::Certificate TestAuthority::sign(const std::string &subject, EVP_PKEY *subjectKey, const std::string &issuer,
                                               EVP_PKEY *issuerKey, bool authority)
{
    Certificate certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), authority ? 1 : 2);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -ValidSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), ValidSeconds);
    X509_set_pubkey(certificate.get(), subjectKey);
    setName(X509_get_subject_name(certificate.get()), subject);
    setName(X509_get_issuer_name(certificate.get()), issuer);
    const char *constraint = authority ? "critical,CA:TRUE" : "critical,CA:FALSE";
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, constraint);
    X509_add_ext(certificate.get(), extension, -1);
    X509_EXTENSION_free(extension);
    X509_sign(certificate.get(), issuerKey, EVP_sha256());
    return certificate;
}

TlsFiles TestAuthority::issue(const std::string &name, const TestAuthority &trusted) const
{
    const Key key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const Certificate certificate = sign(name, key.get(), m_name, m_key.get(), false);
    const std::string base = m_directory + "/" + name;
    return {.certificate = writeFile(base + ".crt", [&](std::FILE *file) { PEM_write_X509(file, certificate.get()); }),
            .key = writeFile(base + ".key",
                             [&](std::FILE *file) { PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr); }),
            .authority = writeFile(base + ".ca", [&](std::FILE *file) { PEM_write_X509(file, trusted.m_certificate.get()); })};
}

} // namespace wisteriafork
