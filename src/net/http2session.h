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

// One HTTP/2 connection: moves bytes between transport and engine, detects dead and idle connections. All members are used on the strand of
// the transport.
class Http2Session : public Http2Observer, public std::enable_shared_from_this<Http2Session>
{
public:
    Http2Session(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, bool server);
    ~Http2Session() override;

    // Announces the end of the session; it closes after its last stream. Any thread.
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
    // Sends what the engine has to send.
    void flush();
    void close();
    // The connection is closed; called once.
    virtual void connectionClosed() = 0;

private:
    void read();
    void onRead(const ErrorCode &error, std::string_view bytes);
    void onWritten(const ErrorCode &error);
    void checkLiveness();

    std::unique_ptr<PeerTransport> m_transport;
    const PeerOptions m_options;
    Http2Engine m_engine;
    LazyTimer m_timer;
    const bool m_server;
    std::string m_output;
    std::chrono::steady_clock::time_point m_lastReceived;
    bool m_processing = false;
    bool m_writing = false;
    bool m_pinged = false;
    bool m_closed = false;
};

} // namespace wisteriafork
