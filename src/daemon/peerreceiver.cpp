#include "daemon/peerreceiver.h"

#include "daemon/receivedcall.h"
#include "net/callheaders.h"
#include "net/codec.h"
#include "net/refusalresponse.h"

#include <utility>

namespace wisteriafork {

PeerReceiver::PeerReceiver(CallTable &calls, CoreRunner &core, const Clock &clock) : m_calls(calls), m_core(core), m_clock(clock)
{
}

void PeerReceiver::handleRequest(std::shared_ptr<ServerExchange> exchange)
{
    if (exchange->request->target == "/call") {
        receiveCall(exchange);
    } else if (exchange->request->target == "/control") {
        receiveMessage(*exchange);
    } else {
        exchange->respond(errorResponse(404, "unknown path"));
    }
}

void PeerReceiver::receiveCall(const std::shared_ptr<ServerExchange> &exchange)
{
    HttpRequest &request = *exchange->request;
    std::optional<ForwardedCall> forwarded = decodeForwardedCall(request.headers, m_clock.now());
    if (!forwarded) {
        exchange->respond(errorResponse(400, "the description of the call is malformed"));
        return;
    }
    request.method = std::move(forwarded->method);
    request.target = std::move(forwarded->target);
    const auto added = addReceivedCall(m_calls, exchange, std::move(forwarded->call), forwarded->traceId, m_clock.now());
    m_core.post(
        CallArrived{
            .call = added->call, .from = std::move(forwarded->from), .mode = forwarded->mode, .traceId = std::move(forwarded->traceId)},
        added->call.id);
}

void PeerReceiver::receiveMessage(ServerExchange &exchange)
{
    const std::string_view from = exchange.request->headers.find("wf-from");
    std::optional<PeerMessage> message = decodeMessage<PeerMessage>(exchange.request->body);
    if (!message || from.empty()) {
        exchange.respond(errorResponse(400, "the message is malformed"));
        return;
    }
    exchange.respond({.status = 204});
    m_core.post(PeerMessageReceived{.from = NodeId(std::string(from)), .message = std::move(*message)});
}

void PeerReceiver::handleGone(ServerExchange &exchange)
{
    if (exchange.tag != 0) {
        m_calls.noteCallerGone(exchange.tag);
        m_core.post(CallerGone{.id = exchange.tag}, exchange.tag);
    }
}

} // namespace wisteriafork
