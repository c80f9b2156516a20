#include "daemon/localrunner.h"

#include "core/config/callclassname.h"
#include "net/refusalresponse.h"
#include "net/traceparent.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

namespace {

// Header fields that tell the backend server about the call, so that it can pass them on with its own calls.
HttpHeaders descriptionFields(const CallRecord &record, const RunLocal &action)
{
    const CallDescription &call = record.call;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(action.remaining);
    HttpHeaders fields;
    fields.fields().reserve(6);
    fields.add("wf-deadline-ms", std::to_string(std::max<std::int64_t>(remaining.count(), 0)));
    fields.add("wf-class", std::string(callClassName(call.callClass)));
    fields.add("wf-attempts-left", std::to_string(action.attemptsLeft));
    fields.add("wf-tenant", call.tenant.value());
    fields.add("wf-request-id", call.requestId);
    if (!record.traceId.empty() && !record.request->headers.contains("traceparent")) {
        fields.add("traceparent", makeTraceparent(record.traceId, call.requestHash | 1U));
    }
    return fields;
}

ServerFailure failureFor(ExchangeError error)
{
    return error == ExchangeError::NotSent ? ServerFailure::ConnectionRefused : ServerFailure::ConnectionBroken;
}

// The status of an answer with which a backend server sheds load; it has not run the request.
bool isShed(unsigned status)
{
    return status == 503 || status == 429;
}

} // namespace

LocalRunner::LocalRunner(asio::io_context &context, const HttpClientOptions &server, CallTable &calls, CoreRunner &core, const Clock &clock,
                         CallStatistics &statistics)
    : m_client(context, server), m_calls(calls), m_core(core), m_clock(clock), m_statistics(statistics)
{
}

void LocalRunner::run(const RunLocal &action)
{
    const CallId id = action.id;
    const std::shared_ptr<CallRecord> record = m_calls.find(id);
    const std::optional<unsigned> attempt = m_calls.beginAttempt(id, AttemptKind::Local, {}, m_clock.now() + action.remaining);
    if (!record || !attempt) {
        // The caller left before the core decided; nothing was sent.
        m_core.post(ServerFailed{.id = id, .failure = ServerFailure::ConnectionRefused}, id);
        return;
    }
    auto exchange = m_client.send(
        record->request, descriptionFields(*record, action),
        [this, id, number = *attempt](tl::expected<HttpResponse, ExchangeError> result) { finished(id, number, std::move(result)); });
    m_calls.setExchange(id, *attempt, std::move(exchange));
}

void LocalRunner::finished(CallId id, unsigned attempt, tl::expected<HttpResponse, ExchangeError> result)
{
    if (!result && result.error() == ExchangeError::AnswerTooLarge) {
        result = errorResponse(502, "the answer of the backend server is larger than the buffering limit");
    }
    if (!result || isShed(result->status)) {
        const ServerFailure failure = result ? ServerFailure::Overloaded : failureFor(result.error());
        if (m_calls.endAttempt(id, attempt, nullptr)) {
            m_core.post(ServerFailed{.id = id, .failure = failure}, id);
        }
        return;
    }
    // These fields are set by nodes only.
    result->headers.remove("wf-load");
    result->headers.remove("wf-refusal");
    const ServerAnswered event{.id = id, .status = static_cast<int>(result->status), .answerBytes = result->body.size()};
    const std::shared_ptr<CallRecord> record = m_calls.find(id);
    if (m_calls.endAttempt(id, attempt, std::make_shared<HttpResponse>(std::move(*result)))) {
        m_statistics.served(record->call, m_clock.now() - record->arrived);
        m_core.post(event, id);
    }
}

void LocalRunner::cancel(const CancelLocal &action)
{
    if (const std::shared_ptr<ClientExchange> exchange = m_calls.abandonAttempt(action.id, AttemptKind::Local)) {
        exchange->cancel();
    }
}

void LocalRunner::stop()
{
    m_client.stop();
}

} // namespace wisteriafork
