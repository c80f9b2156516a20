#include "daemon/answerer.h"

#include "net/callheaders.h"
#include "net/refusalresponse.h"

#include <utility>

namespace wisteriafork {

void Answerer::respond(CallId id, HttpResponse response, const LoadReport &load)
{
    const std::shared_ptr<CallRecord> record = m_calls.find(id);
    if (!record || !m_calls.noteResponded(id)) {
        return;
    }
    if (record->call.origin == CallOrigin::Peer) {
        m_lastLoad = load;
        response.headers.add("wf-load", encodeLoadReport(load));
    } else if (!response.headers.contains("wf-request-id")) {
        response.headers.add("wf-request-id", record->call.requestId);
    }
    record->exchange->respond(std::move(response));
}

void Answerer::refuse(const RespondRefused &action)
{
    const std::shared_ptr<CallRecord> record = m_calls.find(action.id);
    if (record && record->call.origin == CallOrigin::Peer) {
        HttpResponse response{.status = 503};
        response.headers.add("wf-refusal", encodeRefusal(action.refusal));
        respond(action.id, std::move(response), action.load);
        return;
    }
    if (record && record->call.origin == CallOrigin::Caller && !record->responded) {
        m_statistics.refused(record->call, action.refusal);
    }
    respond(action.id, refusalResponse(action.refusal), action.load);
}

void Answerer::count(CallId id, bool replayed)
{
    const std::shared_ptr<CallRecord> record = m_calls.find(id);
    if (!record || record->responded) {
        return;
    }
    if (record->call.origin == CallOrigin::Caller) {
        m_statistics.completed(record->call, m_clock.now() - record->arrived, replayed);
    }
    if (replayed) {
        m_statistics.duplicateSuppressed(record->call);
    }
}

void Answerer::relay(const RelayAnswer &action)
{
    if (const std::shared_ptr<const HttpResponse> answer = m_calls.answerOf(action.id)) {
        count(action.id, answer->headers.find("wf-outcome") == "replayed");
        respond(action.id, *answer, action.load);
        return;
    }
    refuse({.id = action.id, .refusal = {.reason = RefusalReason::ServerFailed}, .load = action.load});
}

void Answerer::store(const StoreAnswer &action)
{
    if (std::shared_ptr<const HttpResponse> answer = m_calls.answerOf(action.id)) {
        m_stored.store(action.key, std::move(answer));
    }
}

void Answerer::respondStored(const RespondStored &action)
{
    const std::shared_ptr<const HttpResponse> answer = m_stored.find(action.key);
    if (!answer) {
        // The core tells which answers are kept, so this is a request whose answer was dropped in the meantime: its outcome is unknown.
        refuse({.id = action.id, .refusal = {.reason = RefusalReason::EarlierAttemptUnfinished}, .load = m_lastLoad});
        return;
    }
    HttpResponse response = *answer;
    response.headers.remove("wf-outcome");
    response.headers.add("wf-outcome", "replayed");
    count(action.id, true);
    respond(action.id, std::move(response), m_lastLoad);
}

void Answerer::drop(const DropStoredAnswer &action)
{
    m_stored.drop(action.key);
}

} // namespace wisteriafork
