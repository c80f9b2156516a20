#include "daemon/callreceiver.h"

#include "net/refusalresponse.h"
#include "net/traceparent.h"

#include <random>
#include <utility>

namespace wisteriafork {

namespace {

std::string freshTraceId()
{
    thread_local std::mt19937_64 random = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    return makeTraceId(random(), random());
}

// Fields of the project are read by the classifier and written anew for each hop; a caller must not pass its own through.
void removeProjectFields(HttpHeaders &headers)
{
    std::erase_if(headers.fields(), [](const HttpHeaders::Field &field) { return field.first.starts_with("wf-"); });
}

} // namespace

CallReceiver::CallReceiver(CallOrigin origin, CallTable &calls, CoreRunner &core, const Clock &clock, CallStatistics &statistics)
    : m_origin(origin), m_calls(calls), m_core(core), m_clock(clock), m_statistics(statistics)
{
}

void CallReceiver::handleRequest(std::shared_ptr<ServerExchange> exchange)
{
    const std::shared_ptr<const RequestClassifier> classifier = m_core.classifier();
    if (!classifier) {
        exchange->respond(refusalResponse({.kind = RefusalKind::NotRun, .reason = RefusalReason::NotConfigured}));
        return;
    }
    const std::string freshId = freshTraceId();
    auto classified = classifier->classify(
        *exchange->request, {.origin = m_origin, .remoteAddress = exchange->remoteAddress, .now = m_clock.now(), .freshId = freshId});
    if (!classified) {
        const bool service = classified.error() == ClassifyError::UnknownService;
        exchange->respond(
            errorResponse(404, service ? "no service has this path" : "the service has no operation for this method and path"));
        return;
    }
    removeProjectFields(exchange->request->headers);
    CallRecord record;
    record.call = std::move(classified->call);
    record.traceId = classified->traceId;
    record.arrived = m_clock.now();
    record.request = exchange->request;
    record.exchange = exchange;
    const std::shared_ptr<CallRecord> added = m_calls.add(std::move(record));
    exchange->tag = added->call.id;
    m_statistics.arrived(added->call);
    m_core.post(CallArrived{.call = added->call, .traceId = std::move(classified->traceId)}, added->call.id);
}

void CallReceiver::handleGone(ServerExchange &exchange)
{
    if (exchange.tag != 0) {
        if (m_origin == CallOrigin::Caller) {
            if (const std::shared_ptr<CallRecord> record = m_calls.find(exchange.tag)) {
                m_statistics.abandoned(record->call);
            }
        }
        m_calls.noteCallerGone(exchange.tag);
        m_core.post(CallerGone{.id = exchange.tag}, exchange.tag);
    }
}

} // namespace wisteriafork
