#include "net/http2session.h"

namespace wisteriafork {

namespace {

// Output of the engine that is collected for one write.
constexpr std::size_t WriteChunkBytes = std::size_t{256} * 1024;
// A larger output buffer is freed after its write, so that idle sessions hold little memory.
constexpr std::size_t MaxRetainedOutputBytes = std::size_t{64} * 1024;

} // namespace

Http2Session::Http2Session(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, bool isServer)
    : m_transport(std::move(transport))
    , m_options(options)
    , m_engine(*this,
               {.isServer = isServer,
                .limits = options.limits,
                .maxConcurrentStreams = options.maxConcurrentStreams,
                .maxBufferedBytes = options.maxBufferedBytes,
                .unindexedFields = options.unindexedFields})
    , m_timer(m_transport->strand())
    , m_isServer(isServer)
{
}

Http2Session::~Http2Session() = default;

void Http2Session::shutDown()
{
    asio::dispatch(m_transport->strand(), [self = shared_from_this()] {
        self->m_engine.announceShutdown();
        self->flush();
    });
}

void Http2Session::startIo()
{
    m_lastReceiveTime = std::chrono::steady_clock::now();
    m_timer.setHandler(weak_from_this(), [this] { checkLiveness(); });
    m_timer.expireAfter(m_options.pingInterval);
    read();
    flush();
}

void Http2Session::read()
{
    m_transport->read([self = shared_from_this()](const ErrorCode &error, std::string_view bytes) { self->onRead(error, bytes); });
}

void Http2Session::onRead(const ErrorCode &error, std::string_view bytes)
{
    if (m_closed) {
        return;
    }
    if (error || bytes.empty()) {
        close();
        return;
    }
    m_lastReceiveTime = std::chrono::steady_clock::now();
    m_pingPending = false;
    m_processing = true;
    const bool valid = m_engine.receive(bytes);
    m_processing = false;
    if (!valid) {
        close();
        return;
    }
    flush();
    if (!m_closed) {
        read();
    }
}

void Http2Session::flush()
{
    // While received bytes are processed, the output is collected; `onRead` flushes it in one write.
    if (m_writing || m_processing || m_closed) {
        return;
    }
    m_output.clear();
    if (!m_engine.takeOutput(m_output, WriteChunkBytes)) {
        close();
        return;
    }
    if (m_output.empty()) {
        // During a shutdown the client side closes the session, because only it knows that no request is in transit.
        const bool isDrained = !m_isServer && m_engine.isShuttingDown() && m_engine.openStreamCount() == 0;
        if (isDrained || m_engine.isFinished()) {
            close();
        }
        return;
    }
    m_writing = true;
    m_transport->write(m_output, [self = shared_from_this()](const ErrorCode &error) { self->onWritten(error); });
}

void Http2Session::onWritten(const ErrorCode &error)
{
    m_writing = false;
    if (m_closed) {
        return;
    }
    if (error) {
        close();
        return;
    }
    if (m_output.capacity() > MaxRetainedOutputBytes) {
        m_output = {};
    }
    flush();
}

void Http2Session::checkLiveness()
{
    const auto silence = std::chrono::steady_clock::now() - m_lastReceiveTime;
    const bool hasStreams = m_engine.openStreamCount() > 0;
    if (hasStreams && silence >= m_options.pingInterval) {
        if (m_pingPending) {
            close();
            return;
        }
        m_pingPending = true;
        m_engine.ping();
    } else if (!hasStreams && m_engine.isShuttingDown() && silence >= m_options.pingInterval) {
        close();
        return;
    } else if (!hasStreams && silence >= m_options.idleTimeout) {
        m_engine.announceShutdown();
    }
    m_timer.expireAfter(m_options.pingInterval);
    flush();
}

void Http2Session::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_timer.cancel();
    m_transport->close();
    onConnectionClosed();
}

} // namespace wisteriafork
