#pragma once

#include "net/asio.h"
#include "net/clientexchange.h"
#include "net/httpclient.h"
#include "net/lazytimer.h"
#include "net/responsereader.h"
#include "net/socketinput.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace wisteriafork {

class HttpClientConnection;

// A request in the pool, with its answer handler.
class HttpClientJob : public ClientExchange, public std::enable_shared_from_this<HttpClientJob>
{
public:
    HttpClientJob(std::shared_ptr<const HttpRequest> httpRequest, HttpHeaders extraHeaders, ResponseHandler answerHandler)
        : request(std::move(httpRequest)), extra(std::move(extraHeaders)), m_handler(std::move(answerHandler))
    {
    }

    void cancel() override;
    // Calls the handler, unless it was called or the job was cancelled.
    void finish(tl::expected<HttpResponse, ExchangeError> result);
    // Binds the job to the connection that runs it.
    void assign(const std::shared_ptr<HttpClientConnection> &connection);

    bool isFinished() const
    {
        return m_finished;
    }

    const std::shared_ptr<const HttpRequest> request;
    const HttpHeaders extra;

private:
    ResponseHandler m_handler;
    std::atomic<bool> m_finished = false;
    std::mutex m_mutex;
    std::weak_ptr<HttpClientConnection> m_connection;
};

// Told by connections when they become free.
class HttpClientPool
{
public:
    virtual ~HttpClientPool() = default;

    // The connection can take another request.
    virtual void connectionIdle(const std::shared_ptr<HttpClientConnection> &connection) = 0;
    // The connection is closed and takes no further request.
    virtual void connectionClosed(const std::shared_ptr<HttpClientConnection> &connection) = 0;
    // The request met a connection that had just been closed; nothing of it was sent.
    virtual void resubmit(std::shared_ptr<HttpClientJob> job) = 0;
};

// One keep-alive connection of the pool. It connects with its first request and is not reopened. All members are used on its strand, except
// where noted.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    HttpClientConnection(asio::io_context &context, const HttpClientOptions &options, std::weak_ptr<HttpClientPool> pool);

    // Runs the request; the connection must be new or idle. Any thread.
    void run(std::shared_ptr<HttpClientJob> job);
    // Closes the connection if it runs this request. Any thread.
    void abort(const std::shared_ptr<HttpClientJob> &job);
    // Closes the connection; a request in progress ends with `Interrupted`. Any thread.
    void stop();

private:
    enum class Phase : std::uint8_t {
        New,
        Connecting,
        Running,
        Idle,
        Closed,
    };

    void connect();
    void onConnected(const ErrorCode &error);
    void sendRequest();
    void waitForInput();
    void onReceived(std::string_view input);
    void onInput(std::string_view input);
    // The answer carries the mark of the request that is in progress.
    bool answersCurrentRequest() const;
    void answerComplete(bool inputLeft);
    // Time for which the connection may stay unused before the server closes it.
    std::chrono::milliseconds idleTime() const;
    void deadlineReached();
    void fail(ExchangeError error);
    void close();

    HttpClientOptions m_options;
    std::weak_ptr<HttpClientPool> m_pool;
    Socket m_socket;
    SocketInput m_socketInput;
    LazyTimer m_timer;
    ResponseReader m_reader;
    std::shared_ptr<HttpClientJob> m_job;
    std::string m_host;
    std::string m_head;
    // Received bytes of an incomplete header.
    std::string m_unparsed;
    Phase m_phase = Phase::New;
    bool m_writing = false;
};

} // namespace wisteriafork
