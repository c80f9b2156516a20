#pragma once

#include "core/base/calldescription.h"
#include "core/config/configuration.h"

#include <chrono>
#include <string>
#include <vector>

namespace wisteriafork::test {

// Call with everything that admission looks at; the deadline is far away unless it is set.
inline CallDescription makeCall(CallId id, CallClass callClass, TimePoint now, Duration remaining = std::chrono::seconds(60))
{
    CallDescription call;
    call.id = id;
    call.requestId = std::to_string(id);
    call.service = ServiceId("registar");
    call.operation = OperationId("record");
    call.callClass = callClass;
    call.callerHash = id;
    call.requestHash = id * 0x9e3779b97f4a7c15ULL;
    call.deadline = now + remaining;
    call.attemptsLeft = 4;
    return call;
}

inline ServiceConfiguration makeService(unsigned slots)
{
    ServiceConfiguration service;
    service.id = ServiceId("registar");
    service.slots = slots;
    OperationConfiguration record;
    record.id = OperationId("record");
    OperationConfiguration lookup;
    lookup.id = OperationId("lookup");
    lookup.calls = {ServiceId("inspekcija")};
    service.operations = {record, lookup};
    return service;
}

} // namespace wisteriafork::test
