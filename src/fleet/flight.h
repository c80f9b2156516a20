#pragma once

#include "fleet/network.h"

namespace wisteriafork::fleet {

// One request from node to node, until its sender has the outcome.
class Flight : public ClientExchange, public std::enable_shared_from_this<Flight>
{
public:
    // `to` is null if nothing has the address.
    Flight(Network &network, NetworkHost &from, NetworkHost *to, ResponseHandler handler);

    void depart(std::shared_ptr<HttpRequest> request);
    void cancel() override;
    // The process of one of the two nodes has ended.
    void hostEnded(const NetworkHost &host);
    // The receiver's answer.
    void answer(HttpResponse response);

    bool isOpen() const
    {
        return m_handler != nullptr;
    }

private:
    void arrive(std::shared_ptr<HttpRequest> request);
    void finish(Duration delay, tl::expected<HttpResponse, ExchangeError> result);
    // The receiver learns that nobody waits for the answer.
    void tellGone();

    Network &m_network;
    NetworkHost &m_from;
    NetworkHost *m_to;
    const unsigned m_fromIncarnation;
    const unsigned m_toIncarnation;
    ResponseHandler m_handler;
    std::weak_ptr<ServerExchange> m_exchange;
    bool m_answered = false;
};

} // namespace wisteriafork::fleet
