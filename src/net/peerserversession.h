#pragma once

#include "net/http2session.h"
#include "net/serverexchange.h"

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>

namespace wisteriafork {

// Numbers that the sessions of one server share.
struct PeerServerLoad
{
    std::atomic<std::size_t> openSessions = 0;
    // Streams whose request has arrived and whose response is not sent.
    std::atomic<std::size_t> openStreams = 0;
};

// Session that another node has opened to this one. Counts itself and its streams in `load`.
class PeerServerSession : public Http2Session
{
public:
    PeerServerSession(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, ServerHandler &handler,
                      std::shared_ptr<PeerServerLoad> load);
    ~PeerServerSession() override;

    // Authenticates the peer and starts reading. Called once.
    void start();

protected:
    void onConnectionClosed() override;
    void onRequestReceived(StreamId stream, HttpRequest request) override;
    void onResponseReceived(StreamId stream, HttpResponse response) override;
    void onStreamFailed(StreamId stream, ExchangeError error) override;
    void onStreamEnded(StreamId stream) override;

private:
    class Exchange;

    void sendResponse(StreamId stream, HttpResponse response);

    ServerHandler &m_handler;
    std::shared_ptr<PeerServerLoad> m_load;
    // Share of this session in the open streams of the server.
    std::size_t m_openStreams = 0;
    // Requests in progress. The handler owns them, and they own the session; strong references here would be a cycle.
    std::unordered_map<StreamId, std::weak_ptr<Exchange>> m_exchanges;
    std::string m_remoteAddress;
    // Closes the session if the authentication takes longer than `connectTimeout`.
    LazyTimer m_handshakeTimer;
};

} // namespace wisteriafork
