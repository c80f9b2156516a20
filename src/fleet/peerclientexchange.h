#pragma once

#include "fleet/network.h"

namespace wisteriafork::fleet {

// One request from a node to a peer over the simulated network, until the sender has a response or an error.
class PeerClientExchange : public ClientExchange, public std::enable_shared_from_this<PeerClientExchange>
{
public:
    // `receiver` is null if no host has the address.
    PeerClientExchange(Network &network, NetworkHost &sender, NetworkHost *receiver, ResponseHandler handler);

    // Call once, with the request as the receiver gets it.
    void sendRequest(std::shared_ptr<HttpRequest> request);
    void cancel() override;
    // The process of a node has stopped. Cancels the exchange if it was the sender, and breaks it if it was the receiver.
    void onNodeStopped(const NetworkHost &host);
    // Called on the side of the receiver. Responses after the first one, or after a delivered cancellation, are dropped.
    void sendResponse(HttpResponse response);

    // Whether the sender still waits for the result.
    bool isOpen() const
    {
        return m_handler != nullptr;
    }

private:
    void deliverRequest(std::shared_ptr<HttpRequest> request);
    // Calls the sender's handler after the delay, unless it has had a result or has cancelled by then.
    void deliverResult(Duration delay, tl::expected<HttpResponse, ExchangeError> result);
    // Notifies the receiver that the sender no longer waits.
    void deliverCancellation();

    Network &m_network;
    NetworkHost &m_sender;
    NetworkHost *m_receiver;
    const unsigned m_senderIncarnation;
    const unsigned m_receiverIncarnation;
    ResponseHandler m_handler;
    std::weak_ptr<ServerExchange> m_serverExchange;
    // The receiver has responded, or was notified of the cancellation.
    bool m_receiverDone = false;
};

} // namespace wisteriafork::fleet
