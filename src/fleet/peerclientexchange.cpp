#include "fleet/peerclientexchange.h"

#include <chrono>

namespace wisteriafork::fleet {

namespace {

// Time after which a node gives up on connecting to a peer, and on a silent connection: the connect timeout and twice the ping interval of
// peergateway.cpp.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration SilenceTimeout = std::chrono::milliseconds(600);

// The receiver's side of an exchange. The receiver owns it until it has responded.
class PeerServerExchange : public ServerExchange
{
public:
    PeerServerExchange(std::shared_ptr<PeerClientExchange> clientExchange, std::shared_ptr<HttpRequest> received)
        : m_clientExchange(std::move(clientExchange))
    {
        request = std::move(received);
        remoteAddress = "peer";
    }

    void respond(HttpResponse response) override
    {
        m_clientExchange->sendResponse(std::move(response));
    }

private:
    const std::shared_ptr<PeerClientExchange> m_clientExchange;
};

} // namespace

PeerClientExchange::PeerClientExchange(Network &network, NetworkHost &sender, NetworkHost *receiver, ResponseHandler handler)
    : m_network(network)
    , m_sender(sender)
    , m_receiver(receiver)
    , m_senderIncarnation(sender.incarnation())
    , m_receiverIncarnation(receiver == nullptr ? 0 : receiver->incarnation())
    , m_handler(std::move(handler))
{
}

void PeerClientExchange::sendRequest(std::shared_ptr<HttpRequest> request)
{
    if (m_network.isClosed()) {
        return;
    }
    if (m_receiver == nullptr || !m_receiver->isNodeRunning()) {
        deliverResult(m_receiver == nullptr ? ConnectTimeout : 2 * m_network.latency(m_sender, *m_receiver),
                      tl::unexpected(ExchangeError::NotProcessed));
        return;
    }
    if (m_network.isPartitioned(m_sender, *m_receiver)) {
        deliverResult(SilenceTimeout, tl::unexpected(ExchangeError::Interrupted));
        return;
    }
    m_network.time().scheduleAfter(
        m_network.latency(m_sender, *m_receiver), [self = shared_from_this(), request = std::move(request)]() mutable {
            self->m_receiver->runInProcess(self->m_receiverIncarnation,
                                           [self, request = std::move(request)]() mutable { self->deliverRequest(std::move(request)); });
        });
}

void PeerClientExchange::deliverRequest(std::shared_ptr<HttpRequest> request)
{
    const auto exchange = std::make_shared<PeerServerExchange>(shared_from_this(), std::move(request));
    m_serverExchange = exchange;
    m_receiver->peerHandler().handleRequest(exchange);
}

void PeerClientExchange::sendResponse(HttpResponse response)
{
    if (m_network.isClosed() || std::exchange(m_receiverDone, true)) {
        return;
    }
    if (m_network.isPartitioned(*m_receiver, m_sender)) {
        deliverResult(SilenceTimeout, tl::unexpected(ExchangeError::Interrupted));
    } else {
        deliverResult(m_network.latency(*m_receiver, m_sender), std::move(response));
    }
}

void PeerClientExchange::cancel()
{
    if (std::exchange(m_handler, nullptr) && !m_network.isClosed()) {
        deliverCancellation();
    }
}

void PeerClientExchange::onNodeStopped(const NetworkHost &host)
{
    if (&host == &m_sender) {
        cancel();
    } else if (&host == m_receiver) {
        deliverResult(m_network.latency(*m_receiver, m_sender), tl::unexpected(ExchangeError::Interrupted));
    }
}

void PeerClientExchange::deliverResult(Duration delay, tl::expected<HttpResponse, ExchangeError> result)
{
    m_network.time().scheduleAfter(delay, [self = shared_from_this(), result = std::move(result)]() mutable {
        self->m_sender.runInProcess(self->m_senderIncarnation, [self, result = std::move(result)]() mutable {
            if (const ResponseHandler handler = std::exchange(self->m_handler, nullptr)) {
                handler(std::move(result));
            }
        });
    });
}

void PeerClientExchange::deliverCancellation()
{
    if (m_receiver == nullptr) {
        return;
    }
    const Duration delay = m_network.isPartitioned(m_sender, *m_receiver) ? SilenceTimeout : m_network.latency(m_sender, *m_receiver);
    m_network.time().scheduleAfter(delay, [self = shared_from_this()] {
        self->m_receiver->runInProcess(self->m_receiverIncarnation, [self] {
            const std::shared_ptr<ServerExchange> exchange = self->m_serverExchange.lock();
            if (exchange && !std::exchange(self->m_receiverDone, true)) {
                self->m_receiver->peerHandler().handleCancellation(*exchange);
            }
        });
    });
}

} // namespace wisteriafork::fleet
