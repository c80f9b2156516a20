#include "net/httpserverconnection.h"

#include "net/errorresponse.h"
#include "net/http1text.h"

#include <array>

namespace wisteriafork {

namespace {

// Input beyond this is not read while a request is in progress; the sender then waits.
constexpr std::size_t MaxPipelinedBytes = std::size_t{64} * 1024;
// Time for which input is discarded after the last answer of a connection.
constexpr std::chrono::seconds LingerTime{2};
// Time for which an unused connection stays open after `stop`. A request may be on its way on it; closing at once was seen to break off
// requests of callers that had just connected.
constexpr std::chrono::milliseconds StopWait{500};

} // namespace

class HttpServerConnection::Exchange : public ServerExchange
{
public:
    explicit Exchange(std::shared_ptr<HttpServerConnection> connection) : m_connection(std::move(connection))
    {
    }

    void respond(HttpResponse response) override
    {
        if (m_answered.exchange(true)) {
            return;
        }
        const Strand strand = m_connection->m_socket.get_executor();
        asio::dispatch(strand, [self = m_connection, this, keep = m_self.lock(), answer = std::move(response)]() mutable {
            self->answer(*this, std::move(answer));
        });
    }

    std::weak_ptr<Exchange> m_self;

private:
    std::shared_ptr<HttpServerConnection> m_connection;
    std::atomic<bool> m_answered = false;
};

HttpServerConnection::HttpServerConnection(Socket socket, std::shared_ptr<HttpServerShared> shared)
    : m_socket(std::move(socket)), m_shared(std::move(shared)), m_reader(m_shared->limits), m_timer(m_socket.get_executor())
{
    ++m_shared->connections;
}

HttpServerConnection::~HttpServerConnection()
{
    --m_shared->connections;
}

void HttpServerConnection::start()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        ErrorCode error;
        const Tcp::endpoint remote = self->m_socket.remote_endpoint(error);
        self->m_remoteAddress = error ? std::string() : remote.address().to_string();
        self->m_socket.set_option(Tcp::no_delay(true), error);
        self->m_socket.non_blocking(true, error);
        self->m_timer.setHandler(self, [connection = self.get()] { connection->deadlineReached(); });
        self->m_timer.expireAfter(self->m_shared->limits.idleTimeout);
        self->waitForInput();
    });
}

void HttpServerConnection::stop()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_keepAlive = false;
        if (self->m_phase == Phase::Reading && !self->m_reader.started()) {
            self->m_timer.expireAfter(StopWait);
        }
    });
}

void HttpServerConnection::waitForInput()
{
    if (m_phase != Phase::Closed && m_input.size() <= MaxPipelinedBytes) {
        m_socketInput.wait(m_socket, [self = shared_from_this()](std::string_view input) { self->onReceived(input); });
    }
}

void HttpServerConnection::onReceived(std::string_view input)
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (input.empty()) {
        inputEnded();
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

void HttpServerConnection::inputEnded()
{
    // A sender that closes its half of the connection has given up on the answer.
    const std::shared_ptr<Exchange> exchange = m_exchange.lock();
    const bool answering = m_phase == Phase::Answering;
    close();
    if (answering && exchange) {
        m_shared->handler.handleCancellation(*exchange);
    }
}

void HttpServerConnection::processInput()
{
    std::string_view input = m_input;
    const bool fresh = !m_reader.started();
    const RequestReader::State state = m_reader.consume(input);
    m_input.erase(0, m_input.size() - input.size());
    switch (state) {
    case RequestReader::State::NeedMore:
        if (fresh && m_reader.started()) {
            m_timer.expireAfter(m_shared->limits.requestTimeout);
        }
        if (m_reader.takeExpectsContinue()) {
            sendContinue();
        }
        break;
    case RequestReader::State::Complete:
        startRequest();
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

void HttpServerConnection::startRequest()
{
    m_phase = Phase::Answering;
    m_timer.clear();
    m_keepAlive = m_keepAlive && m_reader.keepAlive();
    auto exchange = std::make_shared<Exchange>(shared_from_this());
    exchange->m_self = exchange;
    exchange->request = std::make_shared<HttpRequest>(m_reader.takeRequest());
    exchange->remoteAddress = m_remoteAddress;
    m_exchange = exchange;
    m_shared->handler.handleRequest(std::move(exchange));
}

void HttpServerConnection::rejectInput(unsigned status, std::string_view message)
{
    write(errorResponse(status, message), false, false);
}

void HttpServerConnection::sendContinue()
{
    // Fits into the empty send buffer of a connection that has just sent a header; if it does not, the sender times out and sends the body.
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    ErrorCode error;
    m_socket.write_some(asio::buffer(Continue.data(), Continue.size()), error);
}

void HttpServerConnection::answer(Exchange &exchange, HttpResponse response)
{
    if (m_phase != Phase::Answering || m_exchange.lock().get() != &exchange) {
        return;
    }
    const bool answersHead = exchange.request->method == "HEAD";
    const bool keepAlive = m_keepAlive && !response.closeConnection && !m_shared->closeAfterResponses;
    write(std::move(response), answersHead, keepAlive);
}

void HttpServerConnection::write(HttpResponse response, bool answersHead, bool keepAlive)
{
    m_phase = Phase::Writing;
    m_keepAlive = keepAlive;
    m_response = std::move(response);
    m_head = responseHead(m_response, {.answersHead = answersHead, .keepAlive = keepAlive, .http10 = m_reader.isHttp10()});
    if (answersHead || isBodiless(m_response.status)) {
        m_response.body.clear();
    }
    m_timer.expireAfter(m_shared->limits.writeTimeout);
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_head), asio::buffer(m_response.body)};
    asio::async_write(m_socket, buffers, [self = shared_from_this()](const ErrorCode &error, std::size_t) { self->onWritten(error); });
}

void HttpServerConnection::onWritten(const ErrorCode &error)
{
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
    m_response = {};
    m_reader.next();
    m_timer.expireAfter(m_shared->limits.idleTimeout);
    if (!m_input.empty()) {
        processInput();
    }
    waitForInput();
}

void HttpServerConnection::linger()
{
    m_phase = Phase::Lingering;
    m_input.clear();
    m_timer.expireAfter(LingerTime);
    ErrorCode error;
    m_socket.shutdown(Socket::shutdown_send, error);
    waitForInput();
}

void HttpServerConnection::deadlineReached()
{
    if (m_phase == Phase::Reading && m_reader.started()) {
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
    m_exchange.reset();
    m_timer.cancel();
    ErrorCode error;
    m_socket.close(error);
}

} // namespace wisteriafork
