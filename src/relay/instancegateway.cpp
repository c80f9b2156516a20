#include "relay/instancegateway.h"

namespace wisteriafork {

namespace {

class LocalAttempt : public PendingAttempt
{
public:
    LocalAttempt(ServingGateway &serving, CallId id) : m_serving(serving), m_id(id)
    {
    }

    void cancel() override
    {
        m_serving.cancel(m_id);
    }

private:
    ServingGateway &m_serving;
    const CallId m_id;
};

class RemoteAttempt : public PendingAttempt
{
public:
    explicit RemoteAttempt(std::shared_ptr<ClientExchange> exchange) : m_exchange(std::move(exchange))
    {
    }

    void cancel() override
    {
        m_exchange->cancel();
    }

private:
    const std::shared_ptr<ClientExchange> m_exchange;
};

} // namespace

InstanceGateway::InstanceGateway(const RelayParts &parts, ServingGateway &serving, PeerGateway &peers)
    : m_parts(parts), m_serving(serving), m_peers(peers)
{
}

std::unique_ptr<PendingAttempt> InstanceGateway::send(const Instance &instance, RelayRequest request, AttemptHandler handler)
{
    if (instance.peerAddress == m_parts.ownPeerAddress) {
        return std::make_unique<LocalAttempt>(m_serving, m_serving.serve(std::move(request), std::move(handler)));
    }
    return std::make_unique<RemoteAttempt>(m_peers.send(instance.peerAddress, request, std::move(handler)));
}

} // namespace wisteriafork
