#include "relay/peerhandler.h"

#include "net/codec.h"
#include "relay/peergateway.h"
#include "relay/relayheaders.h"

namespace wisteriafork {

PeerHandler::PeerHandler(RelayParts &parts, ServingGateway &serving, QuotaGateway &quotas, SuspectGateway &suspects,
                         std::function<std::string()> snapshot,
                         std::function<void(const ChangesText &, std::function<void(ChangesText)>)> onChangesRequested)
    : m_parts(parts)
    , m_serving(serving)
    , m_quotas(quotas)
    , m_suspects(suspects)
    , m_snapshot(std::move(snapshot))
    , m_onChangesRequested(std::move(onChangesRequested))
{
}

void PeerHandler::handleRequest(std::shared_ptr<ServerExchange> exchange)
{
    if (exchange->request->target == SnapshotPath) {
        exchange->respond({.status = 200, .body = m_snapshot()});
        return;
    }
    if (exchange->request->target == ChangesPath && m_onChangesRequested) {
        const ChangesText changesRequest{.body = exchange->request->body,
                                         .details = std::string(exchange->request->headers.find(DetailsField))};
        m_onChangesRequested(changesRequest, [exchange](ChangesText text) {
            HttpResponse response{.status = 200, .body = std::move(text.body)};
            if (!text.details.empty()) {
                response.headers.add(DetailsField, std::move(text.details));
            }
            exchange->respond(std::move(response));
        });
        return;
    }
    if (exchange->request->target == QuotaPath) {
        respondToQuestion(*exchange, m_quotas.answer(exchange->request->body), "the question for tokens is malformed");
        return;
    }
    if (exchange->request->target == SuspectQuestionPath) {
        respondToQuestion(*exchange, m_suspects.answer(exchange->request->body), "the question for suspects is malformed");
        return;
    }
    if (exchange->request->target == SuspectsPath) {
        if (!m_suspects.receive(exchange->request->body)) {
            m_parts.log.write(EventNumber::MessageMalformed, {exchange->remoteAddress, "the report on suspects is malformed"});
        }
        exchange->respond({.status = 204});
        return;
    }
    if (exchange->request->target == WithdrawPath) {
        if (const auto withdrawal = decodeMessage<Withdrawal>(exchange->request->body)) {
            m_serving.withdraw(withdrawal->sender, m_parts.clock.now() + withdrawal->remaining);
        } else {
            m_parts.log.write(EventNumber::MessageMalformed, {exchange->remoteAddress, "the withdrawal is malformed"});
        }
        exchange->respond({.status = 204});
        return;
    }
    const std::string revisions(exchange->request->headers.find(RevisionsField));
    exchange->request->headers.remove(RevisionsField);
    std::optional<RelayRequest> request = decodeRelayRequest(exchange->request, m_parts.settings.headers, m_parts.clock.now());
    if (!request) {
        m_parts.log.write(EventNumber::MessageMalformed, {exchange->remoteAddress, "the description of the call is malformed"});
        exchange->respond({.status = 400});
        return;
    }
    m_parts.noteRevisions(revisions, request->senderAddress);
    m_parts.noteVersion(request->configurationVersion, request->senderAddress);
    exchange->tag = m_serving.serve(std::move(*request), [this, exchange](AttemptOutcome outcome) {
        const bool refused = std::holds_alternative<NotExecuted>(outcome.result);
        m_parts.metrics.count(refused ? RelayCounter::RefusedForPeers : RelayCounter::ServedForPeers);
        HttpResponse response = encodeOutcome(std::move(outcome), m_parts.settings.headers);
        if (!m_parts.publishedRevisions.empty()) {
            response.headers.add(RevisionsField, m_parts.publishedRevisions);
        }
        exchange->respond(std::move(response));
    });
}

void PeerHandler::respondToQuestion(ServerExchange &exchange, std::string answer, const char *errorIfEmpty)
{
    if (answer.empty()) {
        m_parts.log.write(EventNumber::MessageMalformed, {exchange.remoteAddress, errorIfEmpty});
        exchange.respond({.status = 400});
    } else {
        exchange.respond({.status = 200, .body = std::move(answer)});
    }
}

void PeerHandler::handleCancellation(ServerExchange &exchange)
{
    if (exchange.tag != 0) {
        m_serving.cancel(exchange.tag);
    }
}

} // namespace wisteriafork
