#pragma once

#include <memory>
#include <string>

namespace boost::asio::ssl {
class context;
} // namespace boost::asio::ssl

namespace wisteriafork {

// Names of PEM files.
struct TlsFiles
{
    std::string certificate;
    std::string key;
    // Certificates of the authorities that sign the certificates of nodes.
    std::string authority;
};

// Keys and rules of the sessions between nodes: TLS 1.3, both sides show a certificate that an authority of the settings has signed, and
// the protocol is h2. Immutable; safe to share between threads.
class TlsContext
{
public:
    // Throws boost::system::system_error if a file cannot be used.
    explicit TlsContext(const TlsFiles &files);
    ~TlsContext();

    // Asio wants a context that is not const; sessions do not change it.
    boost::asio::ssl::context &serverContext() const;
    boost::asio::ssl::context &clientContext() const;

private:
    std::unique_ptr<boost::asio::ssl::context> m_server;
    std::unique_ptr<boost::asio::ssl::context> m_client;
};

} // namespace wisteriafork
