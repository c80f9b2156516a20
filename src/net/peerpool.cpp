#include "net/peerpool.h"

#include "net/endpoint.h"
#include "net/peerclientsession.h"

#include <chrono>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

class PeerPool::Private : public std::enable_shared_from_this<PeerPool::Private>
{
public:
    Private(asio::io_context &context, const PeerOptions &options) : m_context(context), m_options(options)
    {
    }

    // Session for the address; null if it is malformed, the pool is stopped, or the last attempt failed a short time ago.
    std::shared_ptr<PeerClientSession> session(const std::string &address)
    {
        const std::optional<Tcp::endpoint> endpoint = parseEndpoint(address);
        std::shared_ptr<PeerClientSession> created;
        {
            const std::lock_guard lock(m_mutex);
            Peer &peer = m_peers[address];
            if (peer.session || m_stopped) {
                return m_stopped ? nullptr : peer.session;
            }
            if (!endpoint || std::chrono::steady_clock::now() < peer.pausedUntil) {
                return nullptr;
            }
            created = create(address);
            peer.session = created;
        }
        created->start(*endpoint);
        return created;
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
        std::chrono::steady_clock::time_point pausedUntil;
    };

    std::shared_ptr<PeerClientSession> create(const std::string &address)
    {
        PeerClientSession::Callbacks callbacks;
        callbacks.connected = [weak = weak_from_this(), address](bool success) {
            if (const auto pool = weak.lock(); pool && !success) {
                pool->attemptFailed(address);
            }
        };
        callbacks.ended = [weak = weak_from_this(), address](const std::shared_ptr<PeerClientSession> &session) {
            if (const auto pool = weak.lock()) {
                pool->sessionEnded(address, session);
            }
        };
        auto transport = makePeerTransport(Socket(asio::make_strand(m_context)), m_options.tls);
        return std::make_shared<PeerClientSession>(std::move(transport), m_options, std::move(callbacks));
    }

    void attemptFailed(const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        m_peers[address].pausedUntil = std::chrono::steady_clock::now() + m_options.reconnectBackoff;
    }

    void sessionEnded(const std::string &address, const std::shared_ptr<PeerClientSession> &session)
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

PeerPool::PeerPool(asio::io_context &context, const PeerOptions &options) : d(std::make_shared<Private>(context, options))
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
    if (const std::shared_ptr<PeerClientSession> session = d->session(address)) {
        session->submit(job);
    } else {
        job->finish(tl::unexpected(ExchangeError::NotProcessed));
    }
    return job;
}

void PeerPool::stop()
{
    d->stop();
}

} // namespace wisteriafork
