#include "daemon/forwarder.h"

#include "net/callheaders.h"
#include "net/codec.h"

#include <utility>

namespace wisteriafork {

namespace {

// The peer gives up at the deadline itself and says why; this node waits a little longer for that.
constexpr std::chrono::milliseconds AnswerSlack{50};

} // namespace

Forwarder::Forwarder(asio::io_context &context, const PeerOptions &options, NodeId self, CallTable &calls, CoreRunner &core,
                     const Clock &clock)
    : m_pool(context, options), m_self(std::move(self)), m_calls(calls), m_core(core), m_clock(clock)
{
}

void Forwarder::forward(const ForwardCall &action)
{
    const CallId id = action.id;
    const std::shared_ptr<CallRecord> record = m_calls.find(id);
    const TimePoint expiry = m_clock.now() + action.remaining + AnswerSlack;
    const std::optional<unsigned> attempt = m_calls.beginAttempt(id, AttemptKind::Forwarded, action.to, expiry);
    if (!record || !attempt) {
        m_core.post(PeerFailed{.id = id, .peer = action.to, .failure = PeerFailure::NotSent}, id);
        return;
    }
    ForwardedCall forwarded{.from = m_self,
                            .mode = action.mode,
                            .call = action.call,
                            .traceId = record->traceId,
                            .method = record->request->method,
                            .target = record->request->target};
    forwarded.call.attemptsLeft = action.attemptsLeft;
    auto exchange = m_pool.send(action.address, record->request, encodeForwardedCall(forwarded, action.remaining),
                                [this, id, number = *attempt, peer = action.to](tl::expected<HttpResponse, ExchangeError> result) {
                                    finished(id, number, peer, std::move(result));
                                });
    m_calls.setExchange(id, *attempt, std::move(exchange));
}

void Forwarder::finished(CallId id, unsigned attempt, const NodeId &peer, tl::expected<HttpResponse, ExchangeError> result)
{
    const std::optional<LoadReport> load = result ? decodeLoadReport(result->headers.find("wf-load")) : std::nullopt;
    if (!load) {
        // Each answer and refusal of a node carries a load report; anything else says nothing about the call.
        const bool notSent = !result && result.error() == ExchangeError::NotSent;
        if (m_calls.endAttempt(id, attempt, nullptr)) {
            m_core.post(PeerFailed{.id = id, .peer = peer, .failure = notSent ? PeerFailure::NotSent : PeerFailure::Broken}, id);
        }
        return;
    }
    if (const std::string_view text = result->headers.find("wf-refusal"); !text.empty()) {
        const Refusal refusal = decodeRefusal(text).value_or(Refusal{.reason = RefusalReason::ServerFailed});
        if (m_calls.endAttempt(id, attempt, nullptr)) {
            m_core.post(PeerRefused{.id = id, .peer = peer, .refusal = refusal, .load = *load}, id);
        }
        return;
    }
    result->headers.remove("wf-load");
    const PeerAnswered event{
        .id = id, .peer = peer, .status = static_cast<int>(result->status), .answerBytes = result->body.size(), .load = *load};
    if (m_calls.endAttempt(id, attempt, std::make_shared<HttpResponse>(std::move(*result)))) {
        m_core.post(event, id);
    }
}

void Forwarder::cancel(const CancelForward &action)
{
    if (const std::shared_ptr<ClientExchange> exchange = m_calls.abandonAttempt(action.id, AttemptKind::Forwarded)) {
        exchange->cancel();
    }
}

void Forwarder::send(const SendPeerMessage &action)
{
    auto request = std::make_shared<HttpRequest>();
    request->body = encodeMessage(action.message);
    HttpHeaders extra;
    extra.add(":path", "/control");
    extra.add("wf-from", m_self.value());
    m_pool.send(action.address, std::move(request), std::move(extra),
                [this, peer = action.to](const tl::expected<HttpResponse, ExchangeError> &result) {
                    if (!result) {
                        m_core.post(PeerUnreachable{.peer = peer});
                    }
                });
}

void Forwarder::stop()
{
    m_pool.stop();
}

} // namespace wisteriafork
