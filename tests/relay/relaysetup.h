#pragma once

#include "../net/echoserver.h"
#include "net/endpoint.h"
#include "net/httpclient.h"
#include "observability/eventlog.h"
#include "relay/relay.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <sstream>

#include <unistd.h>

namespace wisteriafork {

// Names of the header fields that callers, relays and backend servers use in the tests.
inline HeaderNames testHeaderNames()
{
    return {.requestId = "x-id",
            .deadline = "x-deadline",
            .responseOrigin = "x-seal",
            .expectedInstance = "x-expect",
            .callerService = "x-caller",
            .notExecuted = "x-not-executed",
            .instanceLoad = "x-load",
            .workspace = "x-workspace",
            .credential = "x-key"};
}

// A loopback address that no other test process uses.
inline asio::ip::address_v4 ownLoopbackAddress()
{
    const auto process = static_cast<std::uint32_t>(::getpid());
    constexpr std::uint32_t Network = 127U << 24U;
    constexpr std::uint32_t HostBits = (1U << 22U) - 1;
    return asio::ip::address_v4(Network | (1U << 23U) | ((process & HostBits) << 1U) | 1U);
}

// An endpoint that nothing else uses. Ports are counted up from a range below the ephemeral ports; a port that was only probed as free
// could be assigned to another socket before it is used.
inline Tcp::endpoint freeEndpoint()
{
    static std::atomic<std::uint16_t> lastPort = 10'000;
    return {ownLoopbackAddress(), ++lastPort};
}

// Backend server that responds as the test defines and records the requests that it received.
class FakeInstance : public ServerHandler
{
public:
    using Responder = std::function<void(ServerExchange &)>;

    FakeInstance(asio::io_context &context, Responder responder) : m_responder(std::move(responder)), m_server(context, *this, HttpLimits{})
    {
        m_server.listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    }

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(*exchange->request);
            m_exchanges.push_back(exchange);
        }
        m_responder(*exchange);
    }

    void handleCancellation(ServerExchange &) override
    {
        ++cancelled;
    }

    static void succeed(ServerExchange &exchange)
    {
        HttpResponse response{.status = 200, .body = "done " + exchange.request->target};
        response.headers.add("x-seal", "seal-1");
        response.headers.add("x-id", std::string(exchange.request->headers.find("x-id")));
        exchange.respond(std::move(response));
    }

    static void respond(ServerExchange &exchange, unsigned status, const char *field)
    {
        HttpResponse response{.status = status};
        response.headers.add(field, "1");
        response.headers.add("x-id", std::string(exchange.request->headers.find("x-id")));
        exchange.respond(std::move(response));
    }

    // Responds with success to all requests that have no response yet.
    void release()
    {
        std::vector<std::shared_ptr<ServerExchange>> held;
        {
            const std::lock_guard lock(m_mutex);
            held.swap(m_exchanges);
        }
        for (const auto &exchange : held) {
            succeed(*exchange);
        }
    }

    std::vector<HttpRequest> requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

    Tcp::endpoint address() const
    {
        return m_server.address();
    }

    std::atomic<int> cancelled = 0;

private:
    const Responder m_responder;
    std::mutex m_mutex;
    std::vector<HttpRequest> m_requests;
    std::vector<std::shared_ptr<ServerExchange>> m_exchanges;
    HttpServer m_server;
};

// A relay on the loopback address beside one fake backend server.
class RelayHost
{
public:
    RelayHost(asio::io_context &context, const char *name, const char *service, const FakeInstance &instance, const StopOptions &stop = {})
        : settings{.node = name,
                   .service = ServiceId(service),
                   .domain = DomainId("north"),
                   .callerEndpoint = freeEndpoint(),
                   .peerEndpoint = freeEndpoint(),
                   .readinessEndpoint = freeEndpoint(),
                   .serverEndpoint = instance.address(),
                   .headers = testHeaderNames(),
                   .stop = stop}
        , log(LogOptions{}, logText)
        , relay(context, settings, log,
                {.snapshot =
                     [] {
                         return std::string("state");
                     }})
        , m_context(context)
    {
        run([this] { relay.start(); });
    }

    // Runs a function on the thread of the relay.
    void run(const std::function<void()> &function)
    {
        std::promise<void> done;
        asio::post(m_context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    Instance instance(const char *id) const
    {
        return {.id = id,
                .service = settings.service,
                .address = endpointText(settings.serverEndpoint),
                .peerAddress = endpointText(settings.peerEndpoint),
                .domain = settings.domain,
                .slots = 10};
    }

    const RelaySettings settings;
    std::ostringstream logText;
    EventLog log;
    Relay relay;

private:
    asio::io_context &m_context;
};

} // namespace wisteriafork
