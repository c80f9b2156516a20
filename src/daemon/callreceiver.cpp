#include "daemon/callreceiver.h"

#include "daemon/receivedcall.h"
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
    const auto added = addReceivedCall(m_calls, exchange, std::move(classified->call), classified->traceId, m_clock.now());
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
