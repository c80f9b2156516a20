#include "admin/adminserver.h"

#include "admin/adminsession.h"
#include "admin/tlskeys.h"

#include <algorithm>
#include <map>
#include <mutex>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace wisteriafork {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Delay before the next accept after a failed one, for example when the process has no file descriptors left.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};

std::optional<AdminStartError> validateOptions(const AdminOptions &options, asio::ip::address &address)
{
    error_code error;
    address = asio::ip::make_address(options.address, error);
    if (error) {
        return AdminStartError::AddressInvalid;
    }
    if (options.tokens.empty()) {
        return AdminStartError::NoToken;
    }
    if (std::any_of(options.tokens.begin(), options.tokens.end(),
                    [](const AccessToken &token) { return token.secret.size() < MinimumSecretCharacters; })) {
        return AdminStartError::TokenTooShort;
    }
    if (!address.is_loopback() && !options.allowRemote) {
        return AdminStartError::RemoteNotAllowed;
    }
    if (!address.is_loopback() && options.tls.certificateFile.empty()) {
        return AdminStartError::RemoteWithoutTls;
    }
    return std::nullopt;
}

} // namespace

class AdminServer::Impl : public std::enable_shared_from_this<AdminServer::Impl>
{
public:
    Impl(asio::io_context &context, AdminOptions adminOptions, AdministrationSource &source, EventLog &eventLog)
        : options(std::move(adminOptions))
        , handler(options.tokens, source)
        , log(eventLog)
        , keys(options.tls)
        , m_context(context)
        , m_strand(asio::make_strand(context))
        , m_acceptor(m_strand)
        , m_acceptRetryTimer(m_strand)
        , m_keyCheckTimer(m_strand)
        , m_sessionContext{.options = options, .handler = handler, .log = log}
    {
    }

    bool usesTls() const
    {
        return !options.tls.certificateFile.empty();
    }

    bool listen(const asio::ip::address &address)
    {
        const tcp::endpoint endpoint(address, options.port);
        error_code error;
        m_acceptor.open(endpoint.protocol(), error);
        if (!error) {
            m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error) {
            m_acceptor.bind(endpoint, error);
        }
        if (!error) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            log.write(EventNumber::ListenerFailed, {"administration", options.address, error.message()});
            return false;
        }
        port = m_acceptor.local_endpoint(error).port();
        return !error;
    }

    void startServing()
    {
        asio::post(m_strand, [self = shared_from_this()] {
            self->acceptNext();
            self->scheduleKeyCheck();
        });
    }

    void stop()
    {
        asio::post(m_strand, [self = shared_from_this()] {
            self->m_stopped = true;
            error_code ignored;
            self->m_acceptor.close(ignored);
            self->m_acceptRetryTimer.cancel();
            self->m_keyCheckTimer.cancel();
            self->closeSessions();
        });
    }

    // Logs the result of a reload; `problem` is empty if it succeeded. True if it did.
    bool logKeyReload(const std::string &problem)
    {
        if (problem.empty()) {
            log.write(EventNumber::KeysReloaded, {"administration", options.tls.certificateFile});
            return true;
        }
        log.write(EventNumber::KeyReloadFailed, {"administration", problem});
        return false;
    }

    const AdminOptions options;
    const AdminHandler handler;
    EventLog &log;
    TlsKeys keys;
    std::uint16_t port = 0;

private:
    void acceptNext()
    {
        m_acceptor.async_accept(asio::make_strand(m_context), [self = shared_from_this()](const error_code &error, tcp::socket socket) {
            self->onAccepted(error, std::move(socket));
        });
    }

    void onAccepted(const error_code &error, tcp::socket socket)
    {
        if (m_stopped) {
            return;
        }
        if (error) {
            m_acceptRetryTimer.expires_after(AcceptRetryDelay);
            m_acceptRetryTimer.async_wait([self = shared_from_this()](const error_code &cancelled) {
                if (!cancelled && !self->m_stopped) {
                    self->acceptNext();
                }
            });
            return;
        }
        startSession(std::move(socket));
        acceptNext();
    }

    // Closes the socket if the limit on connections is reached.
    void startSession(tcp::socket socket)
    {
        const std::uint64_t number = ++m_lastSessionNumber;
        {
            const std::lock_guard lock(m_mutex);
            if (m_sessions.size() < options.maximumConnections) {
                m_sessions.emplace(number, std::weak_ptr<AdminSession>());
            } else {
                socket.close();
            }
        }
        if (!socket.is_open()) {
            log.write(EventNumber::AdministrationConnectionLimit, {options.address, std::to_string(options.maximumConnections)});
            return;
        }
        auto session = makeAdminSession(std::move(socket), usesTls() ? keys.currentContext() : nullptr,
                                        std::shared_ptr<const AdminSessionContext>(shared_from_this(), &m_sessionContext));
        {
            const std::lock_guard lock(m_mutex);
            m_sessions[number] = session;
        }
        session->start([self = shared_from_this(), number] {
            const std::lock_guard lock(self->m_mutex);
            self->m_sessions.erase(number);
        });
    }

    void closeSessions()
    {
        std::map<std::uint64_t, std::weak_ptr<AdminSession>> sessions;
        {
            const std::lock_guard lock(m_mutex);
            sessions = m_sessions;
        }
        for (const auto &[number, weakSession] : sessions) {
            if (const auto session = weakSession.lock()) {
                session->close();
            }
        }
    }

    void scheduleKeyCheck()
    {
        if (!usesTls() || m_stopped) {
            return;
        }
        m_keyCheckTimer.expires_after(options.keyCheckInterval);
        m_keyCheckTimer.async_wait([self = shared_from_this()](const error_code &cancelled) {
            if (cancelled || self->m_stopped) {
                return;
            }
            if (const auto problem = self->keys.loadIfChanged()) {
                self->logKeyReload(*problem);
            }
            self->scheduleKeyCheck();
        });
    }

    asio::io_context &m_context;
    asio::strand<asio::io_context::executor_type> m_strand;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptRetryTimer;
    asio::steady_timer m_keyCheckTimer;
    bool m_stopped = false;
    std::uint64_t m_lastSessionNumber = 0;
    const AdminSessionContext m_sessionContext;
    std::mutex m_mutex;
    // Open connections by number. A pointer is empty while its session is created.
    std::map<std::uint64_t, std::weak_ptr<AdminSession>> m_sessions;
};

tl::expected<std::unique_ptr<AdminServer>, AdminStartError> AdminServer::start(asio::io_context &context, AdminOptions options,
                                                                               AdministrationSource &source, EventLog &log)
{
    asio::ip::address address;
    if (const auto problem = validateOptions(options, address)) {
        return tl::unexpected(*problem);
    }
    auto implementation = std::make_shared<Impl>(context, std::move(options), source, log);
    if (implementation->usesTls()) {
        const std::string problem = implementation->keys.load();
        if (!problem.empty()) {
            log.write(EventNumber::KeyReloadFailed, {"administration", problem});
            return tl::unexpected(AdminStartError::KeysInvalid);
        }
    }
    if (!implementation->listen(address)) {
        return tl::unexpected(AdminStartError::ListenFailed);
    }
    implementation->startServing();
    return std::unique_ptr<AdminServer>(new AdminServer(std::move(implementation)));
}

AdminServer::AdminServer(std::shared_ptr<Impl> implementation) : m_impl(std::move(implementation))
{
}

AdminServer::~AdminServer()
{
    stop();
}

std::uint16_t AdminServer::port() const
{
    return m_impl->port;
}

bool AdminServer::reloadKeys()
{
    return m_impl->usesTls() && m_impl->logKeyReload(m_impl->keys.load());
}

void AdminServer::stop()
{
    m_impl->stop();
}

std::string describeAdminStartError(AdminStartError error)
{
    switch (error) {
    case AdminStartError::NoToken:
        return "no token is configured";
    case AdminStartError::TokenTooShort:
        return "a token is shorter than 16 characters";
    case AdminStartError::AddressInvalid:
        return "the address is not an IP address";
    case AdminStartError::RemoteNotAllowed:
        return "the address is not a loopback address and remote access is not allowed";
    case AdminStartError::RemoteWithoutTls:
        return "remote access needs TLS";
    case AdminStartError::KeysInvalid:
        return "the TLS keys cannot be used";
    case AdminStartError::ListenFailed:
        return "the address cannot be listened on";
    }
    return "unknown error";
}

} // namespace wisteriafork
