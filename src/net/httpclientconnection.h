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
#include <vector>

namespace wisteriafork {

class HttpClientConnection;

// A request of the pool with its response handler.
class HttpClientJob : public ClientExchange, public std::enable_shared_from_this<HttpClientJob>
{
public:
    HttpClientJob(std::shared_ptr<const HttpRequest> httpRequest, HttpHeaders extraHeaders, ResponseHandler responseHandler)
        : request(std::move(httpRequest)), extra(std::move(extraHeaders)), m_handler(std::move(responseHandler))
    {
    }

    void cancel() override;
    // Calls the handler with the result, unless it was called before or the job was cancelled.
    void finish(tl::expected<HttpResponse, ExchangeError> result);
    // Sets the connection that `cancel` has to close.
    void assignConnection(const std::shared_ptr<HttpClientConnection> &connection);

    // True if the handler was called or the job was cancelled.
    bool isFinished() const
    {
        return m_finished;
    }

    const std::shared_ptr<const HttpRequest> request;
    // Replaces header fields of the request with the same name.
    const HttpHeaders extra;

private:
    ResponseHandler m_handler;
    std::atomic<bool> m_finished = false;
    std::mutex m_mutex;
    std::weak_ptr<HttpClientConnection> m_connection;
};

// Receives the state changes of the connections of a pool. May be called from any thread.
class HttpClientPool
{
public:
    virtual ~HttpClientPool() = default;

    // The connection can run another request.
    virtual void onConnectionIdle(const std::shared_ptr<HttpClientConnection> &connection) = 0;
    // The connection is closed and must not be used for further requests.
    virtual void onConnectionClosed(const std::shared_ptr<HttpClientConnection> &connection) = 0;
    // The connection was closed before the request was sent, so the request has to run on another one.
    virtual void resubmit(std::shared_ptr<HttpClientJob> job) = 0;
};

// One keep-alive connection of the pool. It connects when it gets its first request and is not reopened after it was closed. All members
// are used on its strand, except where noted.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    HttpClientConnection(asio::io_context &context, const HttpClientOptions &options, std::weak_ptr<HttpClientPool> pool);

    // Runs the request; the connection must be new or idle. May be called from any thread.
    void runJob(std::shared_ptr<HttpClientJob> job);
    // Closes the connection if it runs this request. May be called from any thread.
    void abortJob(const std::shared_ptr<HttpClientJob> &job);
    // Closes the connection; a request in progress ends with `Interrupted`. May be called from any thread.
    void stop();
    // True if the connection has carried this request before and got a failure as its response. A faulty server may send that response once
    // more, and the echoed field would not show that it is outdated. Call only while the connection is idle.
    bool hasFailed(const HttpRequest &request) const;

private:
    enum class Phase : std::uint8_t {
        New,
        Connecting,
        Running,
        // The response has arrived, but the end of the request body is still being sent.
        SendingRest,
        Idle,
        Closed,
    };

    void connect();
    void onConnected(const ErrorCode &error);
    void sendRequest();
    void waitForInput();
    void onInputReceived(std::string_view input);
    // True if the end of the input shows that the server has sent everything. The system reports a reset only once: if a write has taken
    // the error, or may take it, the end of the input looks the same after a reset.
    bool wasClosedInOrder() const;
    void parseInput(std::string_view input);
    // False if the echoed header field shows that the response belongs to an earlier request.
    bool isResponseToCurrentRequest() const;
    // Remembers the request if its response is a failure. False if the connection has remembered too many to be used on, or cannot tell a
    // repeated failure from the response to another request because the server copies no field.
    bool recordResponse(const HttpRequest &request, unsigned status);
    // Finishes the job with the parsed response. `mustClose` says that the connection cannot be reused.
    void onResponseComplete(bool mustClose);
    // Offers the connection to the pool for another request, for at most this time.
    void becomeIdle(std::chrono::milliseconds idleTime);
    // Time after which the idle connection is closed: the option `idleTimeout`, or a shorter time if the server announced one. Not positive
    // if the connection cannot be reused.
    std::chrono::milliseconds maxIdleTime() const;
    void onDeadline();
    // Closes the connection and finishes the job, if there is one, with the error.
    void failJob(ExchangeError error);
    void close();

    HttpClientOptions m_options;
    std::weak_ptr<HttpClientPool> m_pool;
    Socket m_socket;
    SocketInput m_socketInput;
    LazyTimer m_timer;
    ResponseReader m_reader;
    std::shared_ptr<HttpClientJob> m_job;
    // Value of the `Host` field for requests without one.
    std::string m_host;
    // Request line and header fields of the request in progress.
    std::string m_head;
    // Received bytes of an incomplete header.
    std::string m_unparsedInput;
    // Share of the buffer budget of the response that is being received.
    BufferReservation m_reservation;
    // Hashes of the echoed field of the requests that got a failure as their response.
    std::vector<std::uint64_t> m_failedRequests;
    // Responses to earlier requests that were skipped while the current request is in progress.
    unsigned m_foreignResponses = 0;
    std::chrono::milliseconds m_idleTimeAfterRest{0};
    Phase m_phase = Phase::New;
    bool m_writing = false;
    // The request in progress could not be sent completely.
    bool m_writeFailed = false;
};

} // namespace wisteriafork
