#include "net/httpclientconnection.h"

#include "core/base/hashing.h"
#include "net/http1text.h"
#include "net/keepaliveprobes.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace wisteriafork {

namespace {

// An idle connection is closed this long before the server would close it, so that no request is in transit when the server closes it.
constexpr std::chrono::milliseconds IdleMargin{1000};
// Responses to earlier requests that are skipped before the connection is given up.
constexpr unsigned MaxForeignResponses = 8;
// Received bytes that may be kept until the parser can use them: a header, a chunk header or a trailer that is not complete.
constexpr std::size_t MaxUnparsedBytes = std::size_t{64} * 1024;
// Failed requests that a connection remembers; it is closed after so many.
constexpr std::size_t MaxFailedRequests = 64;
// Status from which a response is a failure, after which the same request may be sent again.
constexpr unsigned FirstFailureStatus = 400;
// Time for the rest of a request body to be sent after its response. The server may read it late.
constexpr std::chrono::milliseconds LateBodyTimeout{5000};

// Timeout in seconds from the value of a `Keep-Alive` field such as "timeout=5, max=100"; empty if it contains none.
std::optional<unsigned> keepAliveSeconds(std::string_view value)
{
    constexpr std::string_view Name = "timeout=";
    const std::size_t start = value.find(Name);
    unsigned seconds = 0;
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view number = value.substr(start + Name.size());
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), seconds);
    return error == std::errc() ? std::optional(seconds) : std::nullopt;
}

} // namespace

void HttpClientJob::cancel()
{
    if (m_finished.exchange(true)) {
        return;
    }
    std::shared_ptr<HttpClientConnection> connection;
    {
        const std::lock_guard lock(m_mutex);
        connection = m_connection.lock();
    }
    if (connection) {
        connection->abortJob(shared_from_this());
    }
}

void HttpClientJob::finish(tl::expected<HttpResponse, ExchangeError> result)
{
    if (!m_finished.exchange(true)) {
        const ResponseHandler handler = std::move(m_handler);
        handler(std::move(result));
    }
}

void HttpClientJob::assignConnection(const std::shared_ptr<HttpClientConnection> &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connection = connection;
}

HttpClientConnection::HttpClientConnection(asio::io_context &context, const HttpClientOptions &options, std::weak_ptr<HttpClientPool> pool)
    : m_options(options)
    , m_pool(std::move(pool))
    , m_socket(asio::make_strand(context))
    , m_timer(m_socket.get_executor())
    , m_reader(options.limits, options.allowCloseDelimited)
    , m_host(options.server.address().to_string() + ":" + std::to_string(options.server.port()))
    , m_reservation(options.limits.bufferBudget)
{
}

void HttpClientConnection::runJob(std::shared_ptr<HttpClientJob> job)
{
    job->assignConnection(shared_from_this());
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), next = std::move(job)]() mutable {
        if (self->m_phase == Phase::Closed) {
            if (const auto pool = self->m_pool.lock()) {
                pool->resubmit(std::move(next));
            }
            return;
        }
        self->m_job = std::move(next);
        if (self->m_phase == Phase::New) {
            self->connect();
        } else {
            self->sendRequest();
        }
    });
}

void HttpClientConnection::abortJob(const std::shared_ptr<HttpClientJob> &job)
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), job] {
        if (self->m_job == job) {
            self->close();
        }
    });
}

void HttpClientConnection::stop()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] { self->failJob(ExchangeError::Interrupted); });
}

bool HttpClientConnection::hasFailed(const HttpRequest &request) const
{
    return !m_failedRequests.empty()
        && std::ranges::find(m_failedRequests, hash64(request.headers.find(m_options.echoedField))) != m_failedRequests.end();
}

bool HttpClientConnection::recordResponse(const HttpRequest &request, unsigned status)
{
    if (status < FirstFailureStatus) {
        return true;
    }
    if (m_options.echoedField.empty()) {
        return false;
    }
    m_failedRequests.push_back(hash64(request.headers.find(m_options.echoedField)));
    return m_failedRequests.size() < MaxFailedRequests;
}

void HttpClientConnection::connect()
{
    m_phase = Phase::Connecting;
    m_timer.setHandler(weak_from_this(), [this] { onDeadline(); });
    m_timer.expireAfter(m_options.connectTimeout);
    m_socket.async_connect(m_options.server, [self = shared_from_this()](const ErrorCode &error) { self->onConnected(error); });
}

void HttpClientConnection::onConnected(const ErrorCode &error)
{
    if (m_phase != Phase::Connecting) {
        return;
    }
    if (error) {
        failJob(ExchangeError::NotProcessed);
        return;
    }
    ErrorCode ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    if (m_options.keepAliveProbeInterval.count() > 0) {
        enableKeepAliveProbes(m_socket, m_options.keepAliveProbeInterval);
    }
    sendRequest();
    waitForInput();
}

void HttpClientConnection::sendRequest()
{
    m_timer.clearDeadline();
    if (m_job->isFinished()) {
        // The request was cancelled before it was sent, so the connection can be reused.
        m_job.reset();
        becomeIdle(m_options.idleTimeout);
        return;
    }
    m_phase = Phase::Running;
    m_reader.start(m_job->request->method == "HEAD");
    m_foreignResponses = 0;
    m_head = requestHead(*m_job->request, m_job->extra, m_host);
    m_writing = true;
    m_writeFailed = false;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_head), asio::buffer(m_job->request->body)};
    asio::async_write(m_socket, buffers, [self = shared_from_this(), request = m_job->request](const ErrorCode &error, std::size_t) {
        self->m_writing = false;
        if (self->m_phase == Phase::SendingRest) {
            error ? self->close() : self->becomeIdle(self->m_idleTimeAfterRest);
        } else if (error && self->m_phase == Phase::Running) {
            // The server may have sent a response before it closed the connection, so the result depends on what can be read.
            self->m_writeFailed = true;
            self->waitForInput();
        }
    });
}

void HttpClientConnection::waitForInput()
{
    if (m_phase != Phase::Closed) {
        m_socketInput.asyncReadSome(m_socket, [self = shared_from_this()](std::string_view input) { self->onInputReceived(input); });
    }
}

void HttpClientConnection::onInputReceived(std::string_view input)
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (input.empty() && m_phase == Phase::Running && wasClosedInOrder() && m_reader.finishAtEof() && isResponseToCurrentRequest()) {
        onResponseComplete(true);
        return;
    }
    if (input.empty() || m_phase != Phase::Running) {
        failJob(ExchangeError::Interrupted);
        return;
    }
    parseInput(input);
    waitForInput();
}

bool HttpClientConnection::wasClosedInOrder() const
{
    return m_socketInput.isAtEof() && !m_writing && !m_writeFailed;
}

void HttpClientConnection::parseInput(std::string_view input)
{
    std::string joined;
    if (!m_unparsedInput.empty()) {
        joined = std::exchange(m_unparsedInput, {});
        joined += input;
        input = joined;
    }
    ResponseReader::State state = m_reader.consume(input);
    while (state == ResponseReader::State::Complete && !isResponseToCurrentRequest()) {
        if (++m_foreignResponses > MaxForeignResponses) {
            state = ResponseReader::State::Malformed;
            break;
        }
        m_reader.start(m_job->request->method == "HEAD");
        state = m_reader.consume(input);
    }
    if (state == ResponseReader::State::NeedMore && input.size() > MaxUnparsedBytes) {
        state = ResponseReader::State::Malformed;
    } else if (state == ResponseReader::State::NeedMore && !m_reservation.resize(m_reader.bodyBytes())) {
        state = ResponseReader::State::TooLarge;
    }
    switch (state) {
    case ResponseReader::State::NeedMore:
        m_unparsedInput = input;
        break;
    case ResponseReader::State::Complete:
        onResponseComplete(!input.empty());
        break;
    case ResponseReader::State::Malformed:
        failJob(ExchangeError::MalformedResponse);
        break;
    case ResponseReader::State::TooLarge:
        failJob(ExchangeError::ResponseTooLarge);
        break;
    }
}

bool HttpClientConnection::isResponseToCurrentRequest() const
{
    if (m_options.echoedField.empty()) {
        return true;
    }
    const std::string_view sent = m_job->request->headers.find(m_options.echoedField);
    return sent.empty() || m_reader.headerField(m_options.echoedField) == sent;
}

std::chrono::milliseconds HttpClientConnection::maxIdleTime() const
{
    const std::optional<unsigned> seconds = keepAliveSeconds(m_reader.headerField("keep-alive"));
    return seconds ? std::min<std::chrono::milliseconds>(m_options.idleTimeout, std::chrono::seconds(*seconds) - IdleMargin)
                   : m_options.idleTimeout;
}

void HttpClientConnection::onResponseComplete(bool mustClose)
{
    const std::shared_ptr<HttpClientJob> job = std::exchange(m_job, nullptr);
    const std::chrono::milliseconds idle = maxIdleTime();
    const bool keepsAlive = m_reader.isKeepAlive();
    HttpResponse response = m_reader.takeResponse();
    const bool reusable = recordResponse(*job->request, response.status) && keepsAlive && !mustClose && idle.count() > 0;
    response.reservation = std::make_shared<BufferReservation>(std::move(m_reservation));
    m_reservation = BufferReservation(m_options.limits.bufferBudget);
    if (!reusable) {
        close();
    } else if (m_writing) {
        // The server responded before it had read the whole body. It reads the rest later, so nothing else may be sent in its place.
        m_phase = Phase::SendingRest;
        m_idleTimeAfterRest = idle;
        m_timer.expireAfter(LateBodyTimeout);
    } else {
        becomeIdle(idle);
    }
    job->finish(std::move(response));
}

void HttpClientConnection::becomeIdle(std::chrono::milliseconds idleTime)
{
    m_phase = Phase::Idle;
    m_timer.expireAfter(idleTime);
    if (const auto pool = m_pool.lock()) {
        pool->onConnectionIdle(shared_from_this());
    }
}

void HttpClientConnection::onDeadline()
{
    failJob(m_phase == Phase::Connecting ? ExchangeError::NotProcessed : ExchangeError::Interrupted);
}

void HttpClientConnection::failJob(ExchangeError error)
{
    const std::shared_ptr<HttpClientJob> job = std::exchange(m_job, nullptr);
    close();
    if (job) {
        job->finish(tl::unexpected(error));
    }
}

void HttpClientConnection::close()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    m_phase = Phase::Closed;
    m_job.reset();
    m_unparsedInput.clear();
    m_reader.start(false);
    m_reservation = BufferReservation(nullptr);
    m_timer.cancel();
    ErrorCode ignored;
    m_socket.close(ignored);
    if (const auto pool = m_pool.lock()) {
        pool->onConnectionClosed(shared_from_this());
    }
}

} // namespace wisteriafork
