#include "admin/testkeys.h"

#include <cstdio>
#include <memory>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace wisteriafork {

namespace {

void addExtension(X509 *certificate, int kind, const char *value)
{
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, certificate, certificate, nullptr, nullptr, 0);
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

} // namespace

bool writeTestKeys(const std::string &certificateFile, const std::string &keyFile)
{
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME *name = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>("test"), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    addExtension(certificate.get(), NID_subject_alt_name, "IP:127.0.0.1");
    addExtension(certificate.get(), NID_basic_constraints, "critical,CA:TRUE");
    if (X509_sign(certificate.get(), key.get(), EVP_sha256()) == 0) {
        return false;
    }
    const std::unique_ptr<FILE, decltype(&std::fclose)> certificateOutput(std::fopen(certificateFile.c_str(), "w"), std::fclose);
    const std::unique_ptr<FILE, decltype(&std::fclose)> keyOutput(std::fopen(keyFile.c_str(), "w"), std::fclose);
    return certificateOutput && keyOutput && PEM_write_X509(certificateOutput.get(), certificate.get()) == 1
        && PEM_write_PrivateKey(keyOutput.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr) == 1;
}

} // namespace wisteriafork
