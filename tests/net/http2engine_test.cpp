#include "net/http2engine.h"

#include <map>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

// Streams that are cancelled one after another on one session; the library ends a session after about a thousand in a short time.
constexpr int ManyCancellations = 3000;

class RecordingObserver : public Http2Observer
{
public:
    void onRequestReceived(StreamId stream, HttpRequest) override
    {
        received.insert(stream);
    }

    void onResponseReceived(StreamId, HttpResponse) override
    {
    }

    void onStreamFailed(StreamId stream, ExchangeError error) override
    {
        errors.emplace(stream, error);
    }

    std::set<StreamId> received;
    std::map<StreamId, ExchangeError> errors;
};

} // namespace

TEST_GROUP(Http2Engine)
{
    RecordingObserver clientObserver;
    RecordingObserver serverObserver;
    Http2Engine client{clientObserver, {}};
    Http2Engine server{serverObserver, {.isServer = true}};

    Http2Engine::StreamId submit()
    {
        HttpHeaders path;
        path.add(":path", "/");
        return client.submitRequest(std::make_shared<HttpRequest>(), path);
    }

    // Passes all output of one engine to the other at once.
    static void transfer(Http2Engine & from, Http2Engine & to)
    {
        std::string bytes;
        CHECK(from.takeOutput(bytes, std::size_t{1024} * 1024));
        to.receive(bytes);
    }
};

// Guards against a request that the receiver has taken and that its sender counts as refused, because the session ends with a GOAWAY frame
// that was made before the request arrived.
TEST(Http2Engine, ARequestThatWasTakenIsNotReportedAsRefusedWhenTheSessionEnds)
{
    for (int count = 0; count < ManyCancellations && !client.isShuttingDown(); ++count) {
        const Http2Engine::StreamId cancelled = submit();
        transfer(client, server);
        client.cancel(cancelled);
        const Http2Engine::StreamId taken = submit();

        transfer(client, server);
        transfer(server, client);

        CHECK(serverObserver.received.contains(taken));
        const auto error = clientObserver.errors.find(taken);
        CHECK_TEXT(error == clientObserver.errors.end() || error->second == ExchangeError::Interrupted,
                   "a request that was taken is reported as not executed");
        client.cancel(taken);
    }
}
