#include "admin/tlskeys.h"

#include <openssl/ssl.h>

namespace wisteriafork {

namespace ssl = boost::asio::ssl;

TlsKeys::TlsKeys(AdminTls files) : m_files(std::move(files))
{
}

std::string TlsKeys::load()
{
    const FileTimes times = fileTimes();
    auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
    boost::system::error_code error;
    context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 | ssl::context::no_sslv3 | ssl::context::no_tlsv1
                             | ssl::context::no_tlsv1_1,
                         error);
    if (!error) {
        context->use_certificate_chain_file(m_files.certificateFile, error);
    }
    if (error) {
        return m_files.certificateFile + ": " + error.message();
    }
    context->use_private_key_file(m_files.keyFile, ssl::context::pem, error);
    if (error) {
        return m_files.keyFile + ": " + error.message();
    }
    if (SSL_CTX_check_private_key(context->native_handle()) != 1) {
        return m_files.keyFile + ": does not belong to " + m_files.certificateFile;
    }
    const std::lock_guard lock(m_mutex);
    m_context = std::move(context);
    m_loadedTimes = times;
    return {};
}

std::optional<std::string> TlsKeys::loadIfChanged()
{
    {
        const std::lock_guard lock(m_mutex);
        if (fileTimes() == m_loadedTimes) {
            return std::nullopt;
        }
    }
    return load();
}

std::shared_ptr<ssl::context> TlsKeys::currentContext() const
{
    const std::lock_guard lock(m_mutex);
    return m_context;
}

TlsKeys::FileTimes TlsKeys::fileTimes() const
{
    std::error_code error;
    return {std::filesystem::last_write_time(m_files.certificateFile, error), std::filesystem::last_write_time(m_files.keyFile, error)};
}

} // namespace wisteriafork
