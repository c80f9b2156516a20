#pragma once

#include "core/base/clock.h"
#include "daemon/callstatistics.h"
#include "daemon/calltable.h"
#include "daemon/corerunner.h"
#include "net/serverexchange.h"

namespace wisteriafork {

// Takes the requests of one HTTP/1.1 listener into the call table and to the core.
class CallReceiver : public ServerHandler
{
public:
    // `origin` is `Caller` or `LocalService`.
    CallReceiver(CallOrigin origin, CallTable &calls, CoreRunner &core, const Clock &clock, CallStatistics &statistics);

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
    void handleGone(ServerExchange &exchange) override;

private:
    const CallOrigin m_origin;
    CallTable &m_calls;
    CoreRunner &m_core;
    const Clock &m_clock;
    CallStatistics &m_statistics;
};

} // namespace wisteriafork
