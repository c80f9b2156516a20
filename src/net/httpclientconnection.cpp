#include "net/httpclientconnection.h"

#include "net/http1text.h"

#include <array>

namespace wisteriafork {

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
        connection->abort(shared_from_this());
    }
}

void HttpClientJob::finish(tl::expected<HttpResponse, ExchangeError> result)
{
    if (!m_finished.exchange(true)) {
        const AnswerHandler handler = std::move(m_handler);
        handler(std::move(result));
    }
}

void HttpClientJob::assign(const std::shared_ptr<HttpClientConnection> &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connection = connection;
}

HttpClientConnection::HttpClientConnection(asio::io_context &context, const HttpClientOptions &options, std::weak_ptr<HttpClientPool> pool)
    : m_options(options)
    , m_pool(std::move(pool))
    , m_socket(asio::make_strand(context))
    , m_timer(m_socket.get_executor())
    , m_reader(options.limits)
    , m_host(options.server.address().to_string() + ":" + std::to_string(options.server.port()))
{
}

void HttpClientConnection::run(std::shared_ptr<HttpClientJob> job)
{
    job->assign(shared_from_this());
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

void HttpClientConnection::abort(const std::shared_ptr<HttpClientJob> &job)
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), job] {
        if (self->m_job == job) {
            self->close();
        }
    });
}

void HttpClientConnection::stop()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] { self->fail(ExchangeError::Broken); });
}

void HttpClientConnection::connect()
{
    m_phase = Phase::Connecting;
    m_timer.setHandler(weak_from_this(), [this] { deadlineReached(); });
    m_timer.expireAfter(m_options.connectTimeout);
    m_socket.async_connect(m_options.server, [self = shared_from_this()](const ErrorCode &error) { self->onConnected(error); });
}

void HttpClientConnection::onConnected(const ErrorCode &error)
{
    if (m_phase != Phase::Connecting) {
        return;
    }
    if (error) {
        fail(ExchangeError::NotSent);
        return;
    }
    ErrorCode ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    sendRequest();
    waitForInput();
}

void HttpClientConnection::sendRequest()
{
    m_timer.clear();
    if (m_job->isFinished()) {
        // Cancelled before anything was sent.
        m_job.reset();
        m_phase = Phase::Idle;
        m_timer.expireAfter(m_options.idleTimeout);
        if (const auto pool = m_pool.lock()) {
            pool->connectionIdle(shared_from_this());
        }
        return;
    }
    m_phase = Phase::Running;
    m_reader.start(m_job->request->method == "HEAD");
    m_head = requestHead(*m_job->request, m_job->extra, m_host);
    m_writing = true;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_head), asio::buffer(m_job->request->body)};
    asio::async_write(m_socket, buffers, [self = shared_from_this(), request = m_job->request](const ErrorCode &error, std::size_t) {
        self->m_writing = false;
        if (error && self->m_phase == Phase::Running) {
            // The server may have answered before it closed; the read side decides.
            self->waitForInput();
        }
    });
}

void HttpClientConnection::waitForInput()
{
    if (m_phase != Phase::Closed) {
        m_socketInput.wait(m_socket, [self = shared_from_this()](std::string_view input) { self->onReceived(input); });
    }
}

void HttpClientConnection::onReceived(std::string_view input)
{
    if (m_phase == Phase::Closed) {
        return;
    }
    if (input.empty() || m_phase != Phase::Running) {
        fail(ExchangeError::Broken);
        return;
    }
    onInput(input);
    waitForInput();
}

void HttpClientConnection::onInput(std::string_view input)
{
    std::string joined;
    if (!m_unparsed.empty()) {
        joined = std::exchange(m_unparsed, {});
        joined += input;
        input = joined;
    }
    switch (m_reader.consume(input)) {
    case ResponseReader::State::NeedMore:
        m_unparsed = input;
        break;
    case ResponseReader::State::Complete:
        answerComplete(!input.empty());
        break;
    case ResponseReader::State::Malformed:
        fail(ExchangeError::Broken);
        break;
    case ResponseReader::State::TooLarge:
        fail(ExchangeError::AnswerTooLarge);
        break;
    }
}

void HttpClientConnection::answerComplete(bool inputLeft)
{
    const std::shared_ptr<HttpClientJob> job = std::exchange(m_job, nullptr);
    const bool reusable = m_reader.keepAlive() && !inputLeft && !m_writing;
    HttpResponse response = m_reader.takeResponse();
    if (reusable) {
        m_phase = Phase::Idle;
        m_timer.expireAfter(m_options.idleTimeout);
        if (const auto pool = m_pool.lock()) {
            pool->connectionIdle(shared_from_this());
        }
    } else {
        close();
    }
    job->finish(std::move(response));
}

void HttpClientConnection::deadlineReached()
{
    fail(m_phase == Phase::Connecting ? ExchangeError::NotSent : ExchangeError::Broken);
}

void HttpClientConnection::fail(ExchangeError error)
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
    m_unparsed.clear();
    m_timer.cancel();
    ErrorCode ignored;
    m_socket.close(ignored);
    if (const auto pool = m_pool.lock()) {
        pool->connectionClosed(shared_from_this());
    }
}

} // namespace wisteriafork
