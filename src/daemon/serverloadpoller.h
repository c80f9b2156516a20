#pragma once

#include "daemon/corerunner.h"
#include "daemon/repeatingtimer.h"
#include "daemon/settings.h"
#include "net/httpclient.h"

#include <atomic>
#include <memory>

namespace wisteriafork {

// Reads the load endpoint of the local backend server at an interval and passes the hint to the core.
class ServerLoadPoller
{
public:
    ServerLoadPoller(asio::io_context &context, const ServerSettings &server, CoreRunner &core);

    void start();
    void stop();

private:
    void poll();
    void answered(const tl::expected<HttpResponse, ExchangeError> &result);

    HttpClient m_client;
    RepeatingTimer m_timer;
    CoreRunner &m_core;
    std::shared_ptr<HttpRequest> m_request;
    std::atomic<bool> m_pending = false;
};

} // namespace wisteriafork
