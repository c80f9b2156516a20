#pragma once

#include <memory>
#include <string>

namespace boost::asio::ssl {
class context;
} // namespace boost::asio::ssl

namespace wisteriafork {

// Paths of the PEM files of a node.
struct TlsFiles
{
    // Certificate chain of this node.
    std::string certificate;
    // Private key of this node.
    std::string key;
    // Certificates of the trusted authorities, which sign the certificates of nodes.
    std::string authority;
};

// TLS configuration of the sessions between nodes: TLS 1.3, certificates on both sides that are signed by one of the given authorities, and
// the application protocol h2. Immutable; may be shared between threads.
class TlsContext
{
public:
    // Throws boost::system::system_error if a file cannot be read or has invalid contents.
    explicit TlsContext(const TlsFiles &files);
    ~TlsContext();

    // Asio takes the context by non-const reference, but sessions do not change it.
    boost::asio::ssl::context &serverContext() const;
    boost::asio::ssl::context &clientContext() const;

private:
    std::unique_ptr<boost::asio::ssl::context> m_server;
    std::unique_ptr<boost::asio::ssl::context> m_client;
};

} // namespace wisteriafork
