#include "net/tlscontext.h"

#include "net/asio.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <boost/asio/ssl/context.hpp>

namespace wisteriafork {

namespace ssl = boost::asio::ssl;

namespace {

// "h2" in the encoding of ALPN: length and name.
constexpr std::array<unsigned char, 3> Http2Protocol{2, 'h', '2'};

// ALPN callback of the server side: selects h2 and rejects clients that do not offer it.
int selectProtocol(SSL *, const unsigned char **selected, unsigned char *size, const unsigned char *offered, unsigned int offeredSize,
                   void *)
{
    for (unsigned int i = 0; i + 1 < offeredSize; i += 1 + offered[i]) {
        if (offered[i] == 2 && i + 2 < offeredSize && offered[i + 1] == 'h' && offered[i + 2] == '2') {
            *selected = offered + i + 1;
            *size = 2;
            return SSL_TLSEXT_ERR_OK;
        }
    }
    return SSL_TLSEXT_ERR_ALERT_FATAL;
}

std::unique_ptr<ssl::context> makeContext(const TlsFiles &files)
{
    auto context = std::make_unique<ssl::context>(ssl::context::tls);
    SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_3_VERSION);
    context->use_certificate_chain_file(files.certificate);
    context->use_private_key_file(files.key, ssl::context::pem);
    context->load_verify_file(files.authority);
    context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
    return context;
}

} // namespace

TlsContext::TlsContext(const TlsFiles &files) : m_server(makeContext(files)), m_client(makeContext(files))
{
    SSL_CTX_set_alpn_select_cb(m_server->native_handle(), selectProtocol, nullptr);
    SSL_CTX_set_alpn_protos(m_client->native_handle(), Http2Protocol.data(), Http2Protocol.size());
    // Session resumption is disabled: a resumed session is not checked against the current authority file, and sessions between nodes are
    // long-lived anyway.
    SSL_CTX_set_session_cache_mode(m_server->native_handle(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_num_tickets(m_server->native_handle(), 0);
}

TlsContext::~TlsContext() = default;

ssl::context &TlsContext::serverContext() const
{
    return *m_server;
}

ssl::context &TlsContext::clientContext() const
{
    return *m_client;
}

} // namespace wisteriafork
