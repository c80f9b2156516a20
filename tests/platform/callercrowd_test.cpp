#include "net/echoserver.h"
#include "net/endpoint.h"
#include "net/httpclient.h"
#include "platform/nodesettings.h"
#include "relay/relay.h"
#include "relay/relaysetup.h"

#include <algorithm>
#include <future>
#include <sstream>

#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

// Bounds the duration of failing tests only.
constexpr auto LongWait = 20s;
// Descriptors of the process, of which 200 belong to files; so the listeners together may hold 200 connections.
constexpr const char *Settings = R"({"Node":"n-1","Service":"shop","Zone":"north","AppAddr":"127.0.0.1:1","PortRange":[7620,7635],
  "Listen":{"Outbound":"127.0.0.1:8304","ReadinessAddr":"127.0.0.1:8302"},"Platform":{"Address":"127.0.0.1:2"},
  "Limits":{"MemoryMb":160,"MaxFds":400}})";
constexpr std::size_t MaxConnections = 200;
// Callers for each of the three kinds of target.
constexpr std::size_t Crowd = 120;

RelaySettings settingsWithFreePorts()
{
    RelaySettings settings = platform::readNodeSettings(Settings)->relay;
    settings.callerEndpoint = freeEndpoint();
    settings.peerEndpoint = freeEndpoint();
    settings.readinessEndpoint = freeEndpoint();
    settings.metricsEndpoint = {};
    return settings;
}

} // namespace

// Many callers outside of our control at one relay that may hold few descriptors.
TEST_GROUP(CallerCrowd)
{
    RunningContext running;
    const RelaySettings settings = settingsWithFreePorts();
    std::ostringstream logText;
    EventLog log{LogOptions{}, logText};
    Relay relay{running.context, settings, log, {.snapshot = [] {
                    return std::string();
                }}};
    asio::io_context callers;
    std::vector<std::unique_ptr<Tcp::socket>> crowd;

    void setup() override
    {
        std::promise<void> started;
        asio::post(running.context, [&] {
            relay.start();
            relay.node().applyRoutes(RouteTable(1,
                                                {{.name = "read",
                                                  .host = "a.example",
                                                  .prefix = "/read/",
                                                  .services = {{.service = ServiceId("shop")}},
                                                  .timeout = 1s,
                                                  .targetLatency = 1s}}));
            started.set_value();
        });
        started.get_future().wait();
    }

    void teardown() override
    {
        crowd.clear();
        running.stop();
    }

    // Opens connections that send these bytes and no more.
    void connectCrowd(const Tcp::endpoint &listener, std::string_view bytes)
    {
        for (std::size_t number = 0; number < Crowd; ++number) {
            crowd.push_back(std::make_unique<Tcp::socket>(callers));
            ErrorCode error;
            crowd.back()->connect(listener, error);
            asio::write(*crowd.back(), asio::buffer(bytes.data(), bytes.size()), error);
        }
    }

    // Connections of the crowd that the relay has not closed.
    std::size_t openConnections()
    {
        return static_cast<std::size_t>(std::ranges::count_if(crowd, [](const auto &socket) {
            char byte = 0;
            ErrorCode error;
            socket->non_blocking(true, error);
            socket->read_some(asio::buffer(&byte, 1), error);
            return error == asio::error::would_block;
        }));
    }

    unsigned statusOf(const Tcp::endpoint &listener, const char *target)
    {
        HttpClient client(running.context, {.server = listener});
        auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "GET", .target = target});
        request->headers.add("host", "a.example");
        std::promise<unsigned> status;
        client.send(request, {},
                    [&](const tl::expected<HttpResponse, ExchangeError> &response) { status.set_value(response ? response->status : 0); });
        auto future = status.get_future();
        CHECK_TEXT(future.wait_for(LongWait) == std::future_status::ready, "an ordinary caller got no answer");
        return future.get();
    }
};

// Guards against a process that runs out of descriptors because callers open connections and stop in the middle of a header: it can no
// longer reach its server, other nodes and the store.
TEST(CallerCrowd, UnfinishedHeadersDoNotUseUpTheDescriptors)
{
    connectCrowd(settings.callerEndpoint, "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nx-a: ");
    connectCrowd(settings.callerEndpoint, "GET /nowhere HTTP/1.1\r\nHost: b.exam");
    connectCrowd(settings.readinessEndpoint, "GET /-/read");

    // No instance is known, and no configuration of the platform.
    LONGS_EQUAL(503, statusOf(settings.callerEndpoint, "/read/1"));
    LONGS_EQUAL(404, statusOf(settings.callerEndpoint, "/nowhere"));
    CHECK(statusOf(settings.readinessEndpoint, "/-/readyz") != 0);
    const std::size_t open = openConnections();
    CHECK_TEXT(open <= MaxConnections, std::to_string(open).c_str());
}

// Guards against the same by callers that stop just short of the end of a body.
TEST(CallerCrowd, UnfinishedBodiesDoNotUseUpTheDescriptors)
{
    connectCrowd(settings.callerEndpoint, "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\n" + std::string(99, 'b'));
    connectCrowd(settings.callerEndpoint, "POST /nowhere HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc");
    connectCrowd(settings.readinessEndpoint,
                 "POST /-/readyz HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\n" + std::string(99, 'b'));

    LONGS_EQUAL(503, statusOf(settings.callerEndpoint, "/read/1"));
    CHECK(statusOf(settings.readinessEndpoint, "/-/readyz") != 0);
    const std::size_t open = openConnections();
    CHECK_TEXT(open <= MaxConnections, std::to_string(open).c_str());
}
