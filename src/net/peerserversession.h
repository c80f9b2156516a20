#pragma once

#include "net/http2session.h"
#include "net/serverexchange.h"

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>

namespace wisteriafork {

// Accepted session of another node.
class PeerServerSession : public Http2Session
{
public:
    PeerServerSession(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, ServerHandler &handler,
                      std::shared_ptr<std::atomic<std::size_t>> sessions);
    ~PeerServerSession() override;

    void start();

protected:
    void connectionClosed() override;
    void requestReceived(StreamId stream, HttpRequest request) override;
    void responseReceived(StreamId stream, HttpResponse response) override;
    void streamFailed(StreamId stream, ExchangeError error) override;

private:
    class Exchange;

    void answer(StreamId stream, HttpResponse response);

    ServerHandler &m_handler;
    std::shared_ptr<std::atomic<std::size_t>> m_sessions;
    // Requests in progress. They are owned by the handler and keep the session; owning them here would be a cycle.
    std::unordered_map<StreamId, std::weak_ptr<Exchange>> m_exchanges;
    std::string m_remoteAddress;
    // Bounds the time for authentication.
    LazyTimer m_acceptTimer;
};

} // namespace wisteriafork
