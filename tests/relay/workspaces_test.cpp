#include "relay/relayparts.h"
#include "relaysetup.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {

constexpr auto LongWait = std::chrono::seconds(20);

Route shopRoute(const char *prefix, bool isPublic)
{
    return {.name = prefix,
            .host = "a.example",
            .prefix = prefix,
            .kind = RequestKind::Idempotent,
            .services = {{.service = ServiceId("shop")}},
            .timeout = 10s,
            .targetLatency = 1s,
            .maxAttempts = 1,
            .priority = 2,
            .isPublic = isPublic};
}

} // namespace

// One host whose callers need keys. Its backend server also calls the node while it runs the request of a caller.
TEST_GROUP(Workspaces)
{
    RunningContext running;
    FakeInstance::Responder responder = FakeInstance::succeed;
    FakeInstance shop{running.context, [this](ServerExchange &exchange) {
                          responder(exchange);
                      }};
    RelayHost host{running.context, "host", "shop", shop};

    void setup() override
    {
        apply(1, {"key-1"});
        host.run([this] { host.relay.node().putInstance(host.instance("i-1")); });
    }

    void teardown() override
    {
        running.stop();
    }

    void apply(std::uint64_t version, std::initializer_list<const char *> keys)
    {
        Workspace growers{.name = "growers", .priority = 0};
        for (const char *key : keys) {
            growers.keys.push_back(digestOfKey(key));
        }
        host.run([&] {
            host.relay.node().applyRoutes(RouteTable(version, {shopRoute("/read/", false), shopRoute("/open/", true)}),
                                          std::make_shared<const WorkspaceTable>(std::vector{growers}));
        });
    }

    unsigned statusOf(const char *target, const char *key, const char *id = "77aa")
    {
        HttpClient client(running.context, {.server = host.settings.callerEndpoint});
        auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "GET", .target = target});
        request->headers.add("host", "a.example");
        request->headers.add("x-id", id);
        request->headers.add("x-workspace", "forged");
        if (key != nullptr) {
            request->headers.add("x-key", key);
        }
        std::promise<unsigned> status;
        client.send(request, {},
                    [&](const tl::expected<HttpResponse, ExchangeError> &response) { status.set_value(response ? response->status : 0); });
        auto future = status.get_future();
        CHECK_TEXT(future.wait_for(LongWait) == std::future_status::ready, "the caller got no answer");
        return future.get();
    }

    std::string fieldOfLastRequest(const char *name)
    {
        return std::string(shop.requests().back().headers.find(name));
    }
};

// Guards against a key that reaches a backend server, and against a workspace that the caller chose itself.
TEST(Workspaces, TheServerGetsTheNameOfTheWorkspaceInsteadOfTheKey)
{
    LONGS_EQUAL(200, statusOf("/read/1", "key-1"));

    STRCMP_EQUAL("growers", fieldOfLastRequest("x-workspace").c_str());
    CHECK(!shop.requests().back().headers.contains("x-key"));
}

TEST(Workspaces, ARequestWithoutAValidKeyNeverRuns)
{
    LONGS_EQUAL(401, statusOf("/read/1", "key-2"));
    LONGS_EQUAL(401, statusOf("/read/1", nullptr));

    LONGS_EQUAL(0, shop.requests().size());
    CHECK(host.logText.str().find("key-2") == std::string::npos);
}

// Guards against a withdrawn key that is still accepted once the configuration without it is in force.
TEST(Workspaces, AWithdrawnKeyIsRefused)
{
    LONGS_EQUAL(200, statusOf("/read/1", "key-1"));

    apply(2, {"key-3"});

    LONGS_EQUAL(401, statusOf("/read/1", "key-1"));
    LONGS_EQUAL(200, statusOf("/read/1", "key-3"));
}

TEST(Workspaces, APublicRouteNeedsNoKeyAndPassesNeitherKeyNorWorkspaceOn)
{
    LONGS_EQUAL(200, statusOf("/open/1", "key-1"));

    CHECK(!shop.requests().back().headers.contains("x-key"));
    CHECK(!shop.requests().back().headers.contains("x-workspace"));
}

// Guards against calls of backend servers that fail because they carry no key, and against a chain that loses the urgency of its workspace.
TEST(Workspaces, ACallOfTheServerInheritsWorkspaceAndPriority)
{
    unsigned innerStatus = 0;
    std::atomic<unsigned> depth = 0;
    std::vector<std::thread> calls;
    responder = [&](ServerExchange &exchange) {
        if (depth++ == 0) {
            calls.emplace_back([&, held = exchange.request->headers.find("x-id")] {
                innerStatus = statusOf("/read/2", nullptr, (std::string(held) + ".1").c_str());
                shop.release();
            });
        }
    };
    responder = [&, first = std::move(responder)](ServerExchange &exchange) {
        const bool inner = exchange.request->headers.find("x-id").find('.') != std::string_view::npos;
        inner ? FakeInstance::succeed(exchange) : first(exchange);
    };

    LONGS_EQUAL(200, statusOf("/read/1", "key-1"));
    calls.front().join();

    LONGS_EQUAL(200, innerStatus);
    STRCMP_EQUAL("growers", fieldOfLastRequest("x-workspace").c_str());
}
