#pragma once

#include "core/node/action.h"
#include "daemon/callstatistics.h"
#include "daemon/calltable.h"
#include "daemon/corerunner.h"
#include "net/httpclient.h"

namespace wisteriafork {

// Runs calls on the local backend server.
class LocalRunner
{
public:
    LocalRunner(asio::io_context &context, const HttpClientOptions &server, CallTable &calls, CoreRunner &core, const Clock &clock,
                CallStatistics &statistics);

    void run(const RunLocal &action);
    void cancel(const CancelLocal &action);
    void stop();

private:
    void finished(CallId id, unsigned attempt, tl::expected<HttpResponse, ExchangeError> result);

    HttpClient m_client;
    CallTable &m_calls;
    CoreRunner &m_core;
    const Clock &m_clock;
    CallStatistics &m_statistics;
};

} // namespace wisteriafork
