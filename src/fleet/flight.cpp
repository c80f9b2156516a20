#include "fleet/flight.h"

#include <chrono>

namespace wisteriafork::fleet {

namespace {

// Time after which a node gives up a connection that is not made, and an open one that is silent (see peergateway.cpp).
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration SilenceTimeout = std::chrono::milliseconds(600);

// What the receiver sees of a flight. Held by the receiver, so that it lasts until it has answered.
class FlightExchange : public ServerExchange
{
public:
    FlightExchange(std::shared_ptr<Flight> flight, std::shared_ptr<HttpRequest> received) : m_flight(std::move(flight))
    {
        request = std::move(received);
        remoteAddress = "peer";
    }

    void respond(HttpResponse response) override
    {
        m_flight->answer(std::move(response));
    }

private:
    const std::shared_ptr<Flight> m_flight;
};

} // namespace

Flight::Flight(Network &network, NetworkHost &from, NetworkHost *to, ResponseHandler handler)
    : m_network(network)
    , m_from(from)
    , m_to(to)
    , m_fromIncarnation(from.incarnation())
    , m_toIncarnation(to == nullptr ? 0 : to->incarnation())
    , m_handler(std::move(handler))
{
}

void Flight::depart(std::shared_ptr<HttpRequest> request)
{
    if (m_network.isClosed()) {
        return;
    }
    if (m_to == nullptr || !m_to->isUp()) {
        finish(m_to == nullptr ? ConnectTimeout : 2 * m_network.latency(m_from, *m_to), tl::unexpected(ExchangeError::NotProcessed));
        return;
    }
    if (m_network.isCut(m_from, *m_to)) {
        finish(SilenceTimeout, tl::unexpected(ExchangeError::Interrupted));
        return;
    }
    m_network.time().after(m_network.latency(m_from, *m_to), [self = shared_from_this(), request = std::move(request)]() mutable {
        self->m_to->run(self->m_toIncarnation, [self, request = std::move(request)]() mutable { self->arrive(std::move(request)); });
    });
}

void Flight::arrive(std::shared_ptr<HttpRequest> request)
{
    const auto exchange = std::make_shared<FlightExchange>(shared_from_this(), std::move(request));
    m_exchange = exchange;
    m_to->peerHandler().handleRequest(exchange);
}

void Flight::answer(HttpResponse response)
{
    if (m_network.isClosed() || std::exchange(m_answered, true)) {
        return;
    }
    if (m_network.isCut(*m_to, m_from)) {
        finish(SilenceTimeout, tl::unexpected(ExchangeError::Interrupted));
    } else {
        finish(m_network.latency(*m_to, m_from), std::move(response));
    }
}

void Flight::cancel()
{
    if (std::exchange(m_handler, nullptr) && !m_network.isClosed()) {
        tellGone();
    }
}

void Flight::hostEnded(const NetworkHost &host)
{
    if (&host == &m_from) {
        cancel();
    } else if (&host == m_to) {
        finish(m_network.latency(*m_to, m_from), tl::unexpected(ExchangeError::Interrupted));
    }
}

void Flight::finish(Duration delay, tl::expected<HttpResponse, ExchangeError> result)
{
    m_network.time().after(delay, [self = shared_from_this(), result = std::move(result)]() mutable {
        self->m_from.run(self->m_fromIncarnation, [self, result = std::move(result)]() mutable {
            if (const ResponseHandler handler = std::exchange(self->m_handler, nullptr)) {
                handler(std::move(result));
            }
        });
    });
}

void Flight::tellGone()
{
    if (m_to == nullptr) {
        return;
    }
    const Duration delay = m_network.isCut(m_from, *m_to) ? SilenceTimeout : m_network.latency(m_from, *m_to);
    m_network.time().after(delay, [self = shared_from_this()] {
        self->m_to->run(self->m_toIncarnation, [self] {
            const std::shared_ptr<ServerExchange> exchange = self->m_exchange.lock();
            if (exchange && !std::exchange(self->m_answered, true)) {
                self->m_to->peerHandler().handleCancellation(*exchange);
            }
        });
    });
}

} // namespace wisteriafork::fleet
