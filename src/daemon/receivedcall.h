#pragma once

#include "daemon/calltable.h"

namespace wisteriafork {

// Enters a received call into the table and marks the exchange with its id. Fields of the project are removed from the request: they are
// read before and written anew for each hop, and a caller must not pass its own through.
std::shared_ptr<CallRecord> addReceivedCall(CallTable &calls, const std::shared_ptr<ServerExchange> &exchange, CallDescription call,
                                            const std::string &traceId, TimePoint arrived);

} // namespace wisteriafork
