#include "loadclient.h"
#include "nodepair.h"

#include "net/codec.h"

#include <array>
#include <csignal>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr int InputsPerPort = 100000;
// Inputs that are sent on one connection before the next one is opened.
constexpr int InputsPerConnection = 50;

std::string seedInput(std::mt19937_64 &random, bool peerPort)
{
    static const std::array<std::string, 4> http{
        "GET /registar/shelves/1 HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /registar/search HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nhello",
        "POST /registar/search HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HEAD http://x/registar/shelves/1 HTTP/1.0\r\nConnection: keep-alive\r\ntraceparent: "
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n\r\n",
    };
    // Connection preface, empty SETTINGS, and a HEADERS frame with a literal path.
    static const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33);
    static const std::string headers("\0\0\x0d\1\5\0\0\0\1\x83\x86\x44\x08/control\x41", 22);
    if (peerPort) {
        return random() % 4 == 0 ? preface : preface + headers;
    }
    return http[random() % http.size()];
}

// A random text, or a valid input with a few bytes changed, removed or repeated.
std::string hostileInput(std::mt19937_64 &random, bool peerPort)
{
    std::string input;
    if (random() % 4 == 0) {
        input.resize(1 + random() % 300);
        for (char &c : input) {
            c = static_cast<char>(random());
        }
        return input;
    }
    input = seedInput(random, peerPort);
    const std::size_t first = peerPort ? 24 : 0;
    for (std::uint64_t changes = 1 + random() % 4; changes > 0 && input.size() > first; --changes) {
        const std::size_t place = first + random() % (input.size() - first);
        switch (random() % 3) {
        case 0:
            input[place] = static_cast<char>(random());
            break;
        case 1:
            input.erase(place, 1 + random() % 8);
            break;
        default:
            input.insert(place, input.substr(place, 1 + random() % 16));
        }
    }
    return input;
}

// Sends the inputs to a port, on a new connection whenever the node has closed the last one.
void sendHostileInputs(std::uint16_t port, bool peerPort)
{
    std::mt19937_64 random(Seed + port % 2);
    asio::io_context context;
    std::optional<Tcp::socket> socket;
    for (int i = 0; i < InputsPerPort; ++i) {
        ErrorCode error;
        if (!socket || i % InputsPerConnection == 0) {
            socket.emplace(context);
            socket->connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port), error);
            socket->non_blocking(true, error);
        }
        const std::string input = hostileInput(random, peerPort);
        asio::write(*socket, asio::buffer(input), error);
        std::array<char, 4096> answer{};
        ErrorCode readError;
        socket->read_some(asio::buffer(answer), readError);
        if (error || (readError && readError != asio::error::would_block)) {
            socket.reset();
        }
    }
}

} // namespace

TEST_GROUP(HostileInput){};

// Guards against input on any port that crashes or wedges a node.
TEST(HostileInput, onEveryPortLeavesTheNodeServing)
{
    NodePair nodes({.logLevel = "error"});

    sendHostileInputs(nodes.servingPort, false);
    sendHostileInputs(nodes.servingLocalPort, false);
    sendHostileInputs(nodes.servingPeerPort, true);

    CHECK(nodes.serving->isRunning());
    LoadClient client(nodes.edgePort, 4);
    CHECK_EQUAL(100U, client.run(100, std::chrono::seconds(60)).matching);
    nodes.serving->sendSignal(SIGTERM);
    CHECK(nodes.serving->waitForExit(std::chrono::seconds(60)).has_value());
}
