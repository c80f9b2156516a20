#pragma once

#include "net/http2engine.h"
#include "net/lazytimer.h"
#include "net/peeroptions.h"
#include "net/peertransport.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace wisteriafork {

// One HTTP/2 connection: passes bytes between transport and engine, and closes dead and idle connections. All members are used on the
// strand of the transport, except where noted.
class Http2Session : public Http2Observer, public std::enable_shared_from_this<Http2Session>
{
public:
    Http2Session(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, bool isServer);
    ~Http2Session() override;

    // Starts a graceful shutdown: the connection closes after its last stream has ended. May be called from any thread.
    void shutDown();

protected:
    PeerTransport &transport()
    {
        return *m_transport;
    }

    Http2Engine &engine()
    {
        return m_engine;
    }

    const PeerOptions &options() const
    {
        return m_options;
    }

    bool isClosed() const
    {
        return m_closed;
    }

    // Starts reading and writing on the connected transport.
    void startIo();
    // Starts writing the output of the engine, unless a write is in progress.
    void flush();
    // Closes the transport at once and calls `onConnectionClosed`. Does nothing if the session is closed.
    void close();
    // Called once when the connection is closed.
    virtual void onConnectionClosed() = 0;

private:
    void read();
    void onRead(const ErrorCode &error, std::string_view bytes);
    void onWritten(const ErrorCode &error);
    // Called each `pingInterval`: pings or closes a silent connection and shuts down an idle one.
    void checkLiveness();

    std::unique_ptr<PeerTransport> m_transport;
    const PeerOptions m_options;
    Http2Engine m_engine;
    LazyTimer m_timer;
    const bool m_isServer;
    // Bytes of the write in progress.
    std::string m_output;
    std::chrono::steady_clock::time_point m_lastReceiveTime;
    // Received bytes are being processed by the engine.
    bool m_processing = false;
    bool m_writing = false;
    // A ping was sent and nothing has been received since.
    bool m_pingPending = false;
    bool m_closed = false;
};

} // namespace wisteriafork
