#include "net/http2session.h"

namespace wisteriafork {

namespace {

// Bytes that are taken from the engine for one write.
constexpr std::size_t WriteChunk = std::size_t{256} * 1024;
// A larger output buffer is released after its write.
constexpr std::size_t KeptOutput = std::size_t{64} * 1024;

} // namespace

Http2Session::Http2Session(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, bool server)
    : m_transport(std::move(transport))
    , m_options(options)
    , m_engine(*this,
               {.server = server,
                .limits = options.limits,
                .maxConcurrentStreams = options.maxConcurrentStreams,
                .maxBufferedBytes = options.maxBufferedBytes,
                .unindexedFields = options.unindexedFields})
    , m_timer(m_transport->strand())
    , m_server(server)
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
    m_lastReceived = std::chrono::steady_clock::now();
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
    m_lastReceived = std::chrono::steady_clock::now();
    m_pinged = false;
    m_processing = true;
    const bool good = m_engine.receive(bytes);
    m_processing = false;
    if (!good) {
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
    // Within `onRead`, the output of all received frames is sent together.
    if (m_writing || m_processing || m_closed) {
        return;
    }
    m_output.clear();
    if (!m_engine.takeOutput(m_output, WriteChunk)) {
        close();
        return;
    }
    if (m_output.empty()) {
        // The client side closes a session that ends, because only it knows that no request is on its way.
        const bool unused = !m_server && m_engine.shuttingDown() && m_engine.openStreams() == 0;
        if (unused || m_engine.finished()) {
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
    if (m_output.capacity() > KeptOutput) {
        m_output = {};
    }
    flush();
}

void Http2Session::checkLiveness()
{
    const auto silence = std::chrono::steady_clock::now() - m_lastReceived;
    const bool used = m_engine.openStreams() > 0;
    if (used && silence >= m_options.pingInterval) {
        if (m_pinged) {
            close();
            return;
        }
        m_pinged = true;
        m_engine.ping();
    } else if (!used && m_engine.shuttingDown() && silence >= m_options.pingInterval) {
        close();
        return;
    } else if (!used && silence >= m_options.idleTimeout) {
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
    connectionClosed();
}

} // namespace wisteriafork
