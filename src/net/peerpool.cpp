#include "net/peerpool.h"

#include "net/endpoint.h"
#include "net/peerclientsession.h"

#include <chrono>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

class PeerPool::Impl : public std::enable_shared_from_this<PeerPool::Impl>
{
public:
    Impl(asio::io_context &context, const PeerOptions &options) : m_context(context), m_options(options)
    {
    }

    // Returns the open session for the address or opens one. Null if the address is malformed, the pool is stopped, or the last connection
    // attempt failed less than `reconnectBackoff` ago.
    std::shared_ptr<PeerClientSession> sessionFor(const std::string &address)
    {
        const std::optional<Tcp::endpoint> endpoint = parseEndpoint(address);
        std::shared_ptr<PeerClientSession> created;
        {
            const std::lock_guard lock(m_mutex);
            Peer &peer = m_peers[address];
            if (peer.session || m_stopped) {
                return m_stopped ? nullptr : peer.session;
            }
            if (!endpoint || std::chrono::steady_clock::now() < peer.nextConnectTime) {
                return nullptr;
            }
            created = createSession(address);
            peer.session = created;
        }
        created->start(*endpoint);
        return created;
    }

    template <typename Action>
    void post(Action action)
    {
        asio::post(m_context, std::move(action));
    }

    void stop()
    {
        std::vector<std::shared_ptr<PeerClientSession>> sessions;
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
            for (auto &[address, peer] : m_peers) {
                if (peer.session) {
                    sessions.push_back(peer.session);
                }
            }
        }
        for (const auto &session : sessions) {
            session->stop();
        }
    }

private:
    struct Peer
    {
        std::shared_ptr<PeerClientSession> session;
        std::chrono::steady_clock::time_point nextConnectTime;
    };

    std::shared_ptr<PeerClientSession> createSession(const std::string &address)
    {
        PeerClientSession::Callbacks callbacks;
        callbacks.onConnectFinished = [weak = weak_from_this(), address](bool success) {
            if (const auto pool = weak.lock(); pool && !success) {
                pool->recordConnectFailure(address);
            }
        };
        callbacks.onSessionEnded = [weak = weak_from_this(), address](const std::shared_ptr<PeerClientSession> &session) {
            if (const auto pool = weak.lock()) {
                pool->removeSession(address, session);
            }
        };
        auto transport = makePeerTransport(Socket(asio::make_strand(m_context)), m_options.tls);
        return std::make_shared<PeerClientSession>(std::move(transport), m_options, std::move(callbacks));
    }

    void recordConnectFailure(const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        m_peers[address].nextConnectTime = std::chrono::steady_clock::now() + m_options.reconnectBackoff;
    }

    void removeSession(const std::string &address, const std::shared_ptr<PeerClientSession> &session)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_peers.find(address);
        if (found != m_peers.end() && found->second.session == session) {
            found->second.session = nullptr;
        }
    }

    asio::io_context &m_context;
    const PeerOptions m_options;
    std::mutex m_mutex;
    std::unordered_map<std::string, Peer> m_peers;
    bool m_stopped = false;
};

PeerPool::PeerPool(asio::io_context &context, const PeerOptions &options) : m_impl(std::make_shared<Impl>(context, options))
{
}

PeerPool::~PeerPool()
{
    stop();
}

std::shared_ptr<ClientExchange> PeerPool::send(const std::string &address, std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                               ResponseHandler handler)
{
    auto job = std::make_shared<PeerJob>(std::move(request), std::move(extra), std::move(handler));
    if (const std::shared_ptr<PeerClientSession> session = m_impl->sessionFor(address)) {
        session->submit(job);
    } else {
        m_impl->post([job] { job->finish(tl::unexpected(ExchangeError::NotProcessed)); });
    }
    return job;
}

void PeerPool::stop()
{
    m_impl->stop();
}

} // namespace wisteriafork
