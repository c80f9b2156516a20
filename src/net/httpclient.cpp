#include "net/httpclient.h"

#include "net/httpclientconnection.h"

#include <algorithm>
#include <deque>
#include <mutex>
#include <vector>

namespace wisteriafork {

class HttpClient::Private : public HttpClientPool, public std::enable_shared_from_this<HttpClient::Private>
{
public:
    Private(asio::io_context &context, const HttpClientOptions &options) : m_context(context), m_options(options)
    {
    }

    void submit(std::shared_ptr<HttpClientJob> job)
    {
        std::shared_ptr<HttpClientConnection> connection;
        bool stopped = false;
        {
            const std::lock_guard lock(m_mutex);
            stopped = m_stopped;
            if (!m_idle.empty()) {
                // The connection used last is the least likely to be closed by the server's keep-alive time.
                connection = m_idle.back();
                m_idle.pop_back();
            } else if (!stopped && m_connections.size() < m_options.maxConnections) {
                connection = std::make_shared<HttpClientConnection>(m_context, m_options, weak_from_this());
                m_connections.push_back(connection);
            } else if (!stopped) {
                m_waiting.push_back(job);
                return;
            }
        }
        if (connection) {
            connection->run(std::move(job));
        } else {
            job->finish(tl::unexpected(ExchangeError::NotProcessed));
        }
    }

    void connectionIdle(const std::shared_ptr<HttpClientConnection> &connection) override
    {
        std::shared_ptr<HttpClientJob> next;
        {
            const std::lock_guard lock(m_mutex);
            next = takeWaiting();
            if (!next) {
                m_idle.push_back(connection);
                return;
            }
        }
        connection->run(std::move(next));
    }

    void connectionClosed(const std::shared_ptr<HttpClientConnection> &connection) override
    {
        std::shared_ptr<HttpClientJob> next;
        {
            const std::lock_guard lock(m_mutex);
            std::erase(m_idle, connection);
            std::erase(m_connections, connection);
            next = takeWaiting();
        }
        if (next) {
            submit(std::move(next));
        }
    }

    void resubmit(std::shared_ptr<HttpClientJob> job) override
    {
        submit(std::move(job));
    }

    void stop()
    {
        std::vector<std::shared_ptr<HttpClientConnection>> connections;
        std::deque<std::shared_ptr<HttpClientJob>> waiting;
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
            connections = m_connections;
            waiting.swap(m_waiting);
        }
        for (const auto &connection : connections) {
            connection->stop();
        }
        for (const auto &job : waiting) {
            job->finish(tl::unexpected(ExchangeError::NotProcessed));
        }
    }

private:
    // Oldest waiting request that is not cancelled. Called with the lock held.
    std::shared_ptr<HttpClientJob> takeWaiting()
    {
        while (!m_waiting.empty()) {
            std::shared_ptr<HttpClientJob> job = std::move(m_waiting.front());
            m_waiting.pop_front();
            if (!job->isFinished()) {
                return job;
            }
        }
        return nullptr;
    }

    asio::io_context &m_context;
    const HttpClientOptions m_options;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<HttpClientConnection>> m_connections;
    std::vector<std::shared_ptr<HttpClientConnection>> m_idle;
    std::deque<std::shared_ptr<HttpClientJob>> m_waiting;
    bool m_stopped = false;
};

HttpClient::HttpClient(asio::io_context &context, const HttpClientOptions &options) : d(std::make_shared<Private>(context, options))
{
}

HttpClient::~HttpClient()
{
    stop();
}

std::shared_ptr<ClientExchange> HttpClient::send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra, ResponseHandler handler)
{
    auto job = std::make_shared<HttpClientJob>(std::move(request), std::move(extra), std::move(handler));
    d->submit(job);
    return job;
}

void HttpClient::stop()
{
    d->stop();
}

} // namespace wisteriafork
