#include "daemon/receivedcall.h"

#include <utility>

namespace wisteriafork {

std::shared_ptr<CallRecord> addReceivedCall(CallTable &calls, const std::shared_ptr<ServerExchange> &exchange, CallDescription call,
                                            const std::string &traceId, TimePoint arrived)
{
    std::erase_if(exchange->request->headers.fields(), [](const HttpHeaders::Field &field) { return field.first.starts_with("wf-"); });
    CallRecord record;
    record.call = std::move(call);
    record.traceId = traceId;
    record.arrived = arrived;
    record.request = exchange->request;
    record.exchange = exchange;
    std::shared_ptr<CallRecord> added = calls.add(std::move(record));
    exchange->tag = added->call.id;
    return added;
}

} // namespace wisteriafork
