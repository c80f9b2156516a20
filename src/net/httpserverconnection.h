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

// State that the connections of one server share.
struct HttpServerShared
{
    HttpServerShared(ServerHandler &serverHandler, const HttpLimits &httpLimits)
        : handler(serverHandler), limits(httpLimits), headerBytes(limits.headerBytes), bodyBytes(limits.requestBodyBytes)
    {
    }

    ServerHandler &handler;
    const HttpLimits limits;
    // Bounds of the header and the body of a request, which may change while the server runs.
    std::atomic<std::size_t> headerBytes;
    std::atomic<std::size_t> bodyBytes;
    std::atomic<bool> closeAfterResponses = false;
    std::atomic<std::size_t> openConnections = 0;
    // Connections that are writing a response.
    std::atomic<std::size_t> writingConnections = 0;
    // Time, since the epoch of the steady clock, at which a request was last refused for lack of room.
    std::atomic<std::chrono::steady_clock::rep> lastRoomRefusal = 0;
};

// One accepted HTTP/1.1 connection. All members are used on its strand, except where noted.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(Socket socket, std::shared_ptr<HttpServerShared> shared);
    ~HttpServerConnection();

    // Starts reading. Called once.
    void start();
    // Closes the connection after the response to its current request, or after a short time if there is none. May be called from any
    // thread.
    void stop();
    // Refuses a request that has arrived in part and closes the connection. Does nothing in any other state. May be called from any thread.
    void refuseUnfinishedRequest();

private:
    class Exchange;

    enum class Phase : std::uint8_t {
        // Reading a request or waiting for its first byte.
        Reading,
        // The handler processes a request.
        Handling,
        // Writing a response.
        Writing,
        // The last response was sent. Input is discarded until the sender closes the connection: closing it with unread input would reset
        // it, and the sender might lose the response.
        Lingering,
        Closed,
    };

    void waitForInput();
    void onInputReceived(std::string_view input);
    void onInputEnd();
    void processInput();
    // Reserves room for the body of the current request. False if there is none yet: it is tried again after a short time, and nothing is
    // read until then.
    bool reserveBody();
    // Tries again to reserve room, unless the sender has left or has waited too long; its request is refused then.
    void retryReservation();
    // True if the sender has closed its side of the connection, also if there is unread input before its end.
    bool hasSenderLeft();
    // True if the request should be refused because it has waited too long for room. Requests that hold room while they wait for more may
    // block each other, so they give up sooner, one after another.
    bool mustGiveUpWaiting();
    void startRequest();
    // Refuses a request that was not read completely, with the promise that it has not run, and closes the connection after the response.
    void refuseUnread(std::string_view message);
    // Sends an error response and closes the connection after it.
    void rejectInput(unsigned status, std::string_view message);
    void sendContinue();
    void sendResponse(Exchange &exchange, HttpResponse response);
    void writeResponse(HttpResponse response, bool isHeadRequest, bool keepAlive);
    void onWritten(const ErrorCode &error);
    // Shuts down the sending side and discards input until the sender closes the connection.
    void linger();
    void onDeadline();
    // The connection waits for its sender, and may be closed if others need its room.
    void beginWait();
    void close();

    Socket m_socket;
    SocketInput m_socketInput;
    std::shared_ptr<HttpServerShared> m_shared;
    RequestReader m_reader;
    LazyTimer m_timer;
    std::string m_remoteAddress;
    // Received bytes that are not parsed yet.
    std::string m_input;
    // Status line and header fields of `m_response`, the response that is being written.
    std::string m_head;
    HttpResponse m_response;
    // Request in progress. The handler owns it, and it owns the connection; a strong reference here would be a cycle.
    std::weak_ptr<Exchange> m_exchange;
    BufferReservation m_reservation;
    ConnectionLedger::Entry m_ledgerEntry;
    Timer m_roomTimer;
    Phase m_phase = Phase::Reading;
    bool m_waitsForRoom = false;
    // Start of the wait for room.
    std::chrono::steady_clock::time_point m_roomWaitStart;
    bool m_keepAlive = true;
};

} // namespace wisteriafork
