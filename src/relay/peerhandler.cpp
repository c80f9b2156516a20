#include "relay/peerhandler.h"

#include "net/codec.h"
#include "relay/peergateway.h"
#include "relay/relayheaders.h"

namespace wisteriafork {

PeerHandler::PeerHandler(RelayParts &parts, ServingGateway &serving, std::function<std::string()> snapshot)
    : m_parts(parts), m_serving(serving), m_snapshot(std::move(snapshot))
{
}

void PeerHandler::handleRequest(std::shared_ptr<ServerExchange> exchange)
{
    if (exchange->request->target == SnapshotPath) {
        exchange->respond({.status = 200, .body = m_snapshot()});
        return;
    }
    if (exchange->request->target == SuspectsPath) {
        if (const auto suspects = decodeMessage<CrashSuspects>(exchange->request->body)) {
            m_parts.crashGuard.onReportsReceived(*suspects);
        } else {
            m_parts.log.write(EventNumber::MessageMalformed, {exchange->remoteAddress, "the report on suspects is malformed"});
        }
        exchange->respond({.status = 204});
        return;
    }
    std::optional<RelayRequest> request = decodeRelayRequest(exchange->request, m_parts.settings.headers, m_parts.clock.now());
    if (!request) {
        m_parts.log.write(EventNumber::MessageMalformed, {exchange->remoteAddress, "the description of the call is malformed"});
        exchange->respond({.status = 400});
        return;
    }
    m_parts.noteVersion(request->configurationVersion, request->senderAddress);
    exchange->tag = m_serving.serve(std::move(*request), [this, exchange](AttemptOutcome outcome) {
        const bool refused = std::holds_alternative<NotExecuted>(outcome.result);
        m_parts.metrics.count(refused ? RelayCounter::RefusedForPeers : RelayCounter::ServedForPeers);
        exchange->respond(encodeOutcome(std::move(outcome), m_parts.settings.headers));
    });
}

void PeerHandler::handleCancellation(ServerExchange &exchange)
{
    if (exchange.tag != 0) {
        m_serving.cancel(exchange.tag);
    }
}

} // namespace wisteriafork
