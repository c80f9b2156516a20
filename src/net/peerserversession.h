#pragma once

#include "net/http2session.h"
#include "net/serverexchange.h"

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>

namespace wisteriafork {

// Session that another node has opened to this one. Counts itself in `openSessions` for its lifetime.
class PeerServerSession : public Http2Session
{
public:
    PeerServerSession(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, ServerHandler &handler,
                      std::shared_ptr<std::atomic<std::size_t>> openSessions);
    ~PeerServerSession() override;

    // Authenticates the peer and starts reading. Called once.
    void start();

protected:
    void onConnectionClosed() override;
    void onRequestReceived(StreamId stream, HttpRequest request) override;
    void onResponseReceived(StreamId stream, HttpResponse response) override;
    void onStreamFailed(StreamId stream, ExchangeError error) override;

private:
    class Exchange;

    void sendResponse(StreamId stream, HttpResponse response);

    ServerHandler &m_handler;
    std::shared_ptr<std::atomic<std::size_t>> m_openSessions;
    // Requests in progress. The handler owns them, and they own the session; strong references here would be a cycle.
    std::unordered_map<StreamId, std::weak_ptr<Exchange>> m_exchanges;
    std::string m_remoteAddress;
    // Closes the session if the authentication takes longer than `connectTimeout`.
    LazyTimer m_handshakeTimer;
};

} // namespace wisteriafork
