#include "net/httpclient.h"

#include "net/httpclientconnection.h"

#include <algorithm>
#include <deque>
#include <mutex>
#include <vector>

namespace wisteriafork {

class HttpClient::Impl : public HttpClientPool, public std::enable_shared_from_this<HttpClient::Impl>
{
public:
    Impl(asio::io_context &context, const HttpClientOptions &options) : m_context(context), m_options(options)
    {
    }

    void submit(std::shared_ptr<HttpClientJob> job)
    {
        std::shared_ptr<HttpClientConnection> connection;
        std::shared_ptr<HttpClientConnection> replaced;
        {
            const std::lock_guard lock(m_mutex);
            connection = takeIdleConnection(*job->request);
            if (!connection && !m_stopped && m_connections.size() >= m_options.maxConnections) {
                if (m_idleConnections.empty()) {
                    m_waitingJobs.push_back(std::move(job));
                    return;
                }
                // No idle connection may carry this request: one of them makes room for a new one.
                replaced = m_idleConnections.front();
                m_idleConnections.erase(m_idleConnections.begin());
                std::erase(m_connections, replaced);
            }
            if (!connection && !m_stopped) {
                connection = std::make_shared<HttpClientConnection>(m_context, m_options, weak_from_this());
                m_connections.push_back(connection);
            }
        }
        if (replaced) {
            replaced->stop();
        }
        if (connection) {
            connection->runJob(std::move(job));
        } else {
            asio::post(m_context, [job = std::move(job)] { job->finish(tl::unexpected(ExchangeError::NotProcessed)); });
        }
    }

    void probe(std::function<void(bool accepted)> handler)
    {
        struct Probe
        {
            explicit Probe(const Strand &strand) : socket(strand), timer(strand)
            {
            }

            Socket socket;
            Timer timer;
        };
        const auto probe = std::make_shared<Probe>(asio::make_strand(m_context));
        probe->timer.expires_after(m_options.connectTimeout);
        probe->timer.async_wait([probe](const ErrorCode &error) {
            if (!error) {
                ErrorCode ignored;
                probe->socket.close(ignored);
            }
        });
        probe->socket.async_connect(m_options.server, [probe, handler = std::move(handler)](const ErrorCode &error) {
            probe->timer.cancel();
            ErrorCode ignored;
            probe->socket.close(ignored);
            handler(!error);
        });
    }

    void onConnectionIdle(const std::shared_ptr<HttpClientConnection> &connection) override
    {
        std::shared_ptr<HttpClientJob> next;
        {
            const std::lock_guard lock(m_mutex);
            next = takeWaitingJob();
            m_idleConnections.push_back(connection);
        }
        if (next) {
            submit(std::move(next));
        }
    }

    void onConnectionClosed(const std::shared_ptr<HttpClientConnection> &connection) override
    {
        std::shared_ptr<HttpClientJob> next;
        {
            const std::lock_guard lock(m_mutex);
            std::erase(m_idleConnections, connection);
            std::erase(m_connections, connection);
            next = takeWaitingJob();
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
            waiting.swap(m_waitingJobs);
        }
        for (const auto &connection : connections) {
            connection->stop();
        }
        for (const auto &job : waiting) {
            job->finish(tl::unexpected(ExchangeError::NotProcessed));
        }
    }

private:
    // Removes and returns the most recently used idle connection that may carry the request, as it is the least likely to reach the
    // keep-alive timeout of the server; null if there is none. Called with the lock held.
    std::shared_ptr<HttpClientConnection> takeIdleConnection(const HttpRequest &request)
    {
        const auto found = std::ranges::find_if(
            m_idleConnections.rbegin(), m_idleConnections.rend(),
            [&](const std::shared_ptr<HttpClientConnection> &connection) { return !connection->hasFailed(request); });
        if (found == m_idleConnections.rend()) {
            return nullptr;
        }
        std::shared_ptr<HttpClientConnection> connection = *found;
        m_idleConnections.erase(std::next(found).base());
        return connection;
    }

    // Removes and returns the oldest waiting request that is not cancelled; null if there is none. Called with the lock held.
    std::shared_ptr<HttpClientJob> takeWaitingJob()
    {
        while (!m_waitingJobs.empty()) {
            std::shared_ptr<HttpClientJob> job = std::move(m_waitingJobs.front());
            m_waitingJobs.pop_front();
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
    std::vector<std::shared_ptr<HttpClientConnection>> m_idleConnections;
    std::deque<std::shared_ptr<HttpClientJob>> m_waitingJobs;
    bool m_stopped = false;
};

HttpClient::HttpClient(asio::io_context &context, const HttpClientOptions &options) : m_impl(std::make_shared<Impl>(context, options))
{
}

HttpClient::~HttpClient()
{
    stop();
}

std::shared_ptr<ClientExchange> HttpClient::send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra, ResponseHandler handler)
{
    auto job = std::make_shared<HttpClientJob>(std::move(request), std::move(extra), std::move(handler));
    m_impl->submit(job);
    return job;
}

void HttpClient::probe(std::function<void(bool accepted)> handler)
{
    m_impl->probe(std::move(handler));
}

void HttpClient::stop()
{
    m_impl->stop();
}

} // namespace wisteriafork
