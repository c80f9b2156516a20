#pragma once

#include "net/asio.h"
#include "net/lazytimer.h"
#include "net/requestreader.h"
#include "net/serverexchange.h"
#include "net/socketinput.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace wisteriafork {

// What the connections of one listener share.
struct HttpServerShared
{
    HttpServerShared(ServerHandler &serverHandler, const HttpLimits &httpLimits) : handler(serverHandler), limits(httpLimits)
    {
    }

    ServerHandler &handler;
    HttpLimits limits;
    std::atomic<bool> closeAfterResponses = false;
    std::atomic<std::size_t> connections = 0;
};

// One HTTP/1.1 connection of a listener. All members are used on its strand, except where noted.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(Socket socket, std::shared_ptr<HttpServerShared> shared);
    ~HttpServerConnection();

    // Starts reading. Called once.
    void start();
    // Closes the connection after the answer to its current request, or after a short time if there is none. Any thread.
    void stop();

private:
    class Exchange;

    enum class Phase : std::uint8_t {
        // Reading a request or waiting for one.
        Reading,
        // A request is with the handler.
        Answering,
        Writing,
        // The last answer is sent; input is discarded until the sender closes, so that the answer is not lost to a reset.
        Lingering,
        Closed,
    };

    void waitForInput();
    void onReceived(std::string_view input);
    void inputEnded();
    void processInput();
    void startRequest();
    void rejectInput(unsigned status, std::string_view message);
    void sendContinue();
    void answer(Exchange &exchange, HttpResponse response);
    void write(HttpResponse response, bool answersHead, bool keepAlive);
    void onWritten(const ErrorCode &error);
    void linger();
    void deadlineReached();
    void close();

    Socket m_socket;
    SocketInput m_socketInput;
    std::shared_ptr<HttpServerShared> m_shared;
    RequestReader m_reader;
    LazyTimer m_timer;
    std::string m_remoteAddress;
    // Received bytes that are not parsed yet.
    std::string m_input;
    std::string m_head;
    HttpResponse m_response;
    // Request in progress. It is owned by the handler and keeps the connection; owning it here would be a cycle.
    std::weak_ptr<Exchange> m_exchange;
    Phase m_phase = Phase::Reading;
    bool m_keepAlive = true;
};

} // namespace wisteriafork
