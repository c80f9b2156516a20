#include "net/httpserverconnection.h"

#include "net/errorresponse.h"
#include "net/http1text.h"

#include <array>
#include <utility>

#include <poll.h>

namespace wisteriafork {

namespace {

// Limit for the input that is buffered while a request is in progress. Beyond it nothing is read, so TCP flow control stops the sender.
constexpr std::size_t MaxPipelinedBytes = std::size_t{64} * 1024;
// Time for which input is discarded after the last response of a connection.
constexpr std::chrono::seconds LingerTime{2};
// Time for which an idle connection stays open after `stop`. A request may be in transit on it: closing at once broke off requests of
// callers that had just connected.
constexpr std::chrono::milliseconds StopIdleTime{500};
// Interval at which a request that waits for room in the buffers of the node is tried again.
constexpr std::chrono::milliseconds RoomRetryInterval{20};
// Time for which a request waits for room at most. Callers get a final response before the shortest time-out of a route (1 s) is exceeded
// by half.
constexpr std::chrono::milliseconds RoomWaitLimit{1000};
// The same for a request that holds room meanwhile, and the time between two of them that are refused, in which the room that the first one
// has given back is used.
constexpr std::chrono::milliseconds HeldRoomWaitLimit{200};
constexpr std::chrono::milliseconds RoomRefusalInterval{60};
// Value of Retry-After for a request that was refused before it was read completely, in seconds.
constexpr const char *UnreadRetryAfterSeconds = "0.5";

} // namespace

class HttpServerConnection::Exchange : public ServerExchange
{
public:
    explicit Exchange(std::shared_ptr<HttpServerConnection> connection) : m_connection(std::move(connection))
    {
    }

    void respond(HttpResponse response) override
    {
        if (m_responded.exchange(true)) {
            return;
        }
        const Strand strand = m_connection->m_socket.get_executor();
        asio::dispatch(strand, [self = m_connection, this, keep = m_self.lock(), pendingResponse = std::move(response)]() mutable {
            self->sendResponse(*this, std::move(pendingResponse));
        });
    }

    // Set after construction. Keeps the exchange alive while its response is passed to the strand.
    std::weak_ptr<Exchange> m_self;

private:
    std::shared_ptr<HttpServerConnection> m_connection;
    std::atomic<bool> m_responded = false;
};

HttpServerConnection::HttpServerConnection(Socket socket, std::shared_ptr<HttpServerShared> shared)
    : m_socket(std::move(socket))
    , m_shared(std::move(shared))
    , m_reader(m_shared->limits)
    , m_timer(m_socket.get_executor())
    , m_reservation(m_shared->limits.bufferBudget)
    , m_ledgerEntry(m_shared->limits.connectionLedger)
    , m_roomTimer(m_socket.get_executor())
{
    ++m_shared->openConnections;
}

HttpServerConnection::~HttpServerConnection()
{
    --m_shared->openConnections;
}

void HttpServerConnection::start()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        ErrorCode error;
        const Tcp::endpoint remote = self->m_socket.remote_endpoint(error);
        self->m_remoteAddress = error ? std::string() : remote.address().to_string();
        self->m_socket.set_option(Tcp::no_delay(true), error);
        self->m_socket.non_blocking(true, error);
        self->m_timer.setHandler(self, [connection = self.get()] { connection->onDeadline(); });
        self->m_timer.expireAfter(self->m_shared->limits.idleTimeout);
        self->beginWait();
        self->waitForInput();
    });
}

void HttpServerConnection::beginWait()
{
    m_ledgerEntry.beginWait([weak = weak_from_this(), strand = m_socket.get_executor()] {
        asio::post(strand, [weak] {
            const auto self = weak.lock();
            if (self && (self->m_phase == Phase::Reading || self->m_phase == Phase::Lingering)) {
                self->close();
            }
        });
    });
}

void HttpServerConnection::stop()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_keepAlive = false;
        if (self->m_phase == Phase::Reading && !self->m_reader.hasStarted()) {
            self->m_timer.expireAfter(StopIdleTime);
        }
    });
}

void HttpServerConnection::waitForInput()
{
    if (m_phase != Phase::Closed && !m_waitsForRoom && m_input.size() <= MaxPipelinedBytes) {
        m_socketInput.asyncReadSome(m_socket, [self = shared_from_this()](std::string_view input) { self->onInputReceived(input); });
    }
}

void HttpServerConnection::onInputReceived(std::string_view input)
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (input.empty()) {
        onInputEnd();
        return;
    }
    if (m_phase != Phase::Lingering) {
        m_input.append(input);
    }
    if (m_phase == Phase::Reading) {
        processInput();
    }
    waitForInput();
}

void HttpServerConnection::onInputEnd()
{
    // A sender that shuts down its side of the connection is treated as having cancelled the request.
    const std::shared_ptr<Exchange> exchange = m_exchange.lock();
    const bool wasHandling = m_phase == Phase::Handling;
    close();
    if (wasHandling && exchange) {
        m_shared->handler.handleCancellation(*exchange);
    }
}

void HttpServerConnection::processInput()
{
    std::string_view input = m_input;
    const bool wasIdle = !m_reader.hasStarted();
    m_reader.setBounds(m_shared->headerBytes, m_shared->bodyBytes);
    const RequestReader::State state = m_reader.consume(input);
    m_input.erase(0, m_input.size() - input.size());
    switch (state) {
    case RequestReader::State::NeedMore:
        if (wasIdle && m_reader.hasStarted()) {
            m_timer.expireAfter(m_shared->limits.requestTimeout);
        }
        if (reserveBody() && m_reader.takeExpectContinue()) {
            sendContinue();
        }
        break;
    case RequestReader::State::Complete:
        if (reserveBody()) {
            startRequest();
        }
        break;
    case RequestReader::State::Malformed:
        rejectInput(400, "the request is malformed");
        break;
    case RequestReader::State::HeaderTooLarge:
        rejectInput(431, "the header of the request is too large");
        break;
    case RequestReader::State::BodyTooLarge:
        rejectInput(413, "the body of the request is too large");
        break;
    }
}

bool HttpServerConnection::reserveBody()
{
    const bool waitedBefore = std::exchange(m_waitsForRoom, !m_reservation.resize(m_reader.expectedBodyBytes()));
    if (m_waitsForRoom) {
        if (!waitedBefore) {
            m_roomWaitStart = std::chrono::steady_clock::now();
        }
        m_roomTimer.expires_after(RoomRetryInterval);
        // No read is pending meanwhile, so that only this handler keeps the connection alive.
        m_roomTimer.async_wait([self = shared_from_this()](const ErrorCode &error) {
            if (!error && self->m_phase == Phase::Reading) {
                self->retryReservation();
            }
        });
    }
    return !m_waitsForRoom;
}

void HttpServerConnection::retryReservation()
{
    if (hasSenderLeft()) {
        close();
        return;
    }
    processInput();
    if (m_phase == Phase::Reading && m_waitsForRoom && mustGiveUpWaiting()) {
        refuseUnread("there is no room for the body of the request");
    }
    waitForInput();
}

void HttpServerConnection::refuseUnread(std::string_view message)
{
    m_waitsForRoom = false;
    m_roomTimer.cancel();
    HttpResponse response = errorResponse(503, message);
    response.headers.add("retry-after", UnreadRetryAfterSeconds);
    m_reader.startNextRequest();
    m_reservation = BufferReservation(m_shared->limits.bufferBudget);
    writeResponse(std::move(response), false, false);
}

void HttpServerConnection::refuseUnfinishedRequest()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_phase == Phase::Reading && self->m_reader.hasStarted()) {
            self->refuseUnread("the request did not arrive before the process ends");
        }
    });
}

bool HttpServerConnection::hasSenderLeft()
{
    pollfd descriptor{.fd = m_socket.native_handle(), .events = POLLRDHUP, .revents = 0};
    return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool HttpServerConnection::mustGiveUpWaiting()
{
    const auto now = std::chrono::steady_clock::now();
    const auto waited = now - m_roomWaitStart;
    if (waited >= RoomWaitLimit) {
        return true;
    }
    if (!m_reservation.holdsRoom() || waited < HeldRoomWaitLimit) {
        return false;
    }
    auto last = m_shared->lastRoomRefusal.load();
    return now.time_since_epoch().count() - last >= std::chrono::steady_clock::duration(RoomRefusalInterval).count()
        && m_shared->lastRoomRefusal.compare_exchange_strong(last, now.time_since_epoch().count());
}

void HttpServerConnection::startRequest()
{
    m_phase = Phase::Handling;
    m_ledgerEntry.endWait();
    m_timer.clearDeadline();
    m_keepAlive = m_keepAlive && m_reader.isKeepAlive();
    auto exchange = std::make_shared<Exchange>(shared_from_this());
    exchange->m_self = exchange;
    exchange->request = std::make_shared<HttpRequest>(m_reader.takeRequest());
    exchange->request->reservation = std::make_shared<BufferReservation>(std::move(m_reservation));
    m_reservation = BufferReservation(m_shared->limits.bufferBudget);
    exchange->remoteAddress = m_remoteAddress;
    m_exchange = exchange;
    m_shared->handler.handleRequest(std::move(exchange));
}

void HttpServerConnection::rejectInput(unsigned status, std::string_view message)
{
    writeResponse(errorResponse(status, message), false, false);
}

void HttpServerConnection::sendContinue()
{
    // The send buffer is empty when a header has just arrived, so the write completes at once. If it fails, the sender sends the body after
    // a timeout.
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    ErrorCode error;
    m_socket.write_some(asio::buffer(Continue.data(), Continue.size()), error);
}

void HttpServerConnection::sendResponse(Exchange &exchange, HttpResponse response)
{
    if (m_phase != Phase::Handling || m_exchange.lock().get() != &exchange) {
        return;
    }
    const bool isHeadRequest = exchange.request->method == "HEAD";
    const bool keepAlive = m_keepAlive && !response.closeConnection && !m_shared->closeAfterResponses;
    writeResponse(std::move(response), isHeadRequest, keepAlive);
}

void HttpServerConnection::writeResponse(HttpResponse response, bool isHeadRequest, bool keepAlive)
{
    m_phase = Phase::Writing;
    m_ledgerEntry.endWait();
    m_keepAlive = keepAlive;
    m_response = std::move(response);
    m_head = responseHead(m_response, {.isHeadRequest = isHeadRequest, .keepAlive = keepAlive, .http10 = m_reader.isHttp10()});
    if (isHeadRequest || isBodiless(m_response.status)) {
        m_response.body.clear();
    }
    m_timer.expireAfter(m_shared->limits.writeTimeout);
    ++m_shared->writingConnections;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_head), asio::buffer(m_response.body)};
    asio::async_write(m_socket, buffers, [self = shared_from_this()](const ErrorCode &error, std::size_t) { self->onWritten(error); });
}

void HttpServerConnection::onWritten(const ErrorCode &error)
{
    --m_shared->writingConnections;
    m_exchange.reset();
    if (m_phase == Phase::Closed) {
        return;
    }
    if (error) {
        close();
        return;
    }
    if (!m_keepAlive) {
        linger();
        return;
    }
    m_phase = Phase::Reading;
    beginWait();
    m_response = {};
    m_reader.startNextRequest();
    m_timer.expireAfter(m_shared->limits.idleTimeout);
    if (!m_input.empty()) {
        processInput();
    }
    waitForInput();
}

void HttpServerConnection::linger()
{
    m_phase = Phase::Lingering;
    beginWait();
    m_input.clear();
    m_timer.expireAfter(LingerTime);
    ErrorCode error;
    m_socket.shutdown(Socket::shutdown_send, error);
    waitForInput();
}

void HttpServerConnection::onDeadline()
{
    if (m_phase == Phase::Reading && m_reader.hasStarted()) {
        rejectInput(408, "the request did not arrive in time");
        return;
    }
    close();
}

void HttpServerConnection::close()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    m_phase = Phase::Closed;
    m_ledgerEntry.endWait();
    m_exchange.reset();
    m_timer.cancel();
    m_roomTimer.cancel();
    m_reservation = BufferReservation(nullptr);
    ErrorCode error;
    m_socket.close(error);
}

} // namespace wisteriafork
