#include "net/peerserversession.h"

namespace wisteriafork {

class PeerServerSession::Exchange : public ServerExchange
{
public:
    Exchange(std::shared_ptr<PeerServerSession> session, StreamId stream) : m_session(std::move(session)), m_stream(stream)
    {
    }

    void respond(HttpResponse response) override
    {
        if (m_responded.exchange(true)) {
            return;
        }
        asio::dispatch(m_session->transport().strand(),
                       [session = m_session, stream = m_stream, pendingResponse = std::move(response)]() mutable {
                           session->sendResponse(stream, std::move(pendingResponse));
                       });
    }

private:
    std::shared_ptr<PeerServerSession> m_session;
    const StreamId m_stream;
    std::atomic<bool> m_responded = false;
};

PeerServerSession::PeerServerSession(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, ServerHandler &handler,
                                     std::shared_ptr<PeerServerLoad> load)
    : Http2Session(std::move(transport), options, true)
    , m_handler(handler)
    , m_load(std::move(load))
    , m_handshakeTimer(this->transport().strand())
{
    ++m_load->openSessions;
}

PeerServerSession::~PeerServerSession()
{
    --m_load->openSessions;
    m_load->openStreams -= m_openStreams;
}

void PeerServerSession::start()
{
    asio::dispatch(transport().strand(), [self = std::static_pointer_cast<PeerServerSession>(shared_from_this())] {
        self->m_remoteAddress = self->transport().remoteAddress();
        self->m_handshakeTimer.setHandler(self, [session = self.get()] { session->close(); });
        self->m_handshakeTimer.expireAfter(self->options().connectTimeout);
        self->transport().accept([self](const ErrorCode &error) {
            self->m_handshakeTimer.cancel();
            if (error) {
                self->close();
            } else if (!self->isClosed()) {
                self->startIo();
            }
        });
    });
}

void PeerServerSession::onRequestReceived(StreamId stream, HttpRequest request)
{
    auto exchange = std::make_shared<Exchange>(std::static_pointer_cast<PeerServerSession>(shared_from_this()), stream);
    exchange->request = std::make_shared<HttpRequest>(std::move(request));
    exchange->remoteAddress = m_remoteAddress;
    m_exchanges.emplace(stream, exchange);
    ++m_openStreams;
    ++m_load->openStreams;
    m_handler.handleRequest(std::move(exchange));
}

void PeerServerSession::onResponseReceived(StreamId, HttpResponse)
{
}

void PeerServerSession::onStreamFailed(StreamId stream, ExchangeError)
{
    const auto found = m_exchanges.find(stream);
    if (found == m_exchanges.end()) {
        return;
    }
    const std::shared_ptr<Exchange> exchange = found->second.lock();
    m_exchanges.erase(found);
    if (exchange) {
        m_handler.handleCancellation(*exchange);
    }
}

void PeerServerSession::onStreamEnded(StreamId)
{
    --m_openStreams;
    --m_load->openStreams;
}

void PeerServerSession::sendResponse(StreamId stream, HttpResponse response)
{
    if (isClosed() || m_exchanges.erase(stream) == 0) {
        return;
    }
    engine().submitResponse(stream, std::move(response));
    flush();
}

void PeerServerSession::onConnectionClosed()
{
    m_load->openStreams -= std::exchange(m_openStreams, 0);
    const std::unordered_map<StreamId, std::weak_ptr<Exchange>> exchanges = std::exchange(m_exchanges, {});
    for (const auto &[stream, weakExchange] : exchanges) {
        if (const std::shared_ptr<Exchange> exchange = weakExchange.lock()) {
            m_handler.handleCancellation(*exchange);
        }
    }
}

} // namespace wisteriafork
