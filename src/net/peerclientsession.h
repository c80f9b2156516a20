#pragma once

#include "net/clientexchange.h"
#include "net/http2session.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

class PeerClientSession;

// A request to a peer with its response handler.
class PeerJob : public ClientExchange, public std::enable_shared_from_this<PeerJob>
{
public:
    PeerJob(std::shared_ptr<const HttpRequest> httpRequest, HttpHeaders extraHeaders, ResponseHandler responseHandler)
        : request(std::move(httpRequest)), extra(std::move(extraHeaders)), m_handler(std::move(responseHandler))
    {
    }

    void cancel() override;
    // Calls the handler with the result, unless it was called before or the job was cancelled.
    void finish(tl::expected<HttpResponse, ExchangeError> result);
    // Sets the session on which `cancel` resets the stream.
    void assignSession(const std::shared_ptr<PeerClientSession> &session);

    // True if the handler was called or the job was cancelled.
    bool isFinished() const
    {
        return m_finished;
    }

    const std::shared_ptr<const HttpRequest> request;
    // Replaces header fields of the request with the same name.
    const HttpHeaders extra;
    // Used on the strand of the session; negative until the stream is opened.
    Http2Observer::StreamId stream = -1;

private:
    ResponseHandler m_handler;
    std::atomic<bool> m_finished = false;
    std::mutex m_mutex;
    std::weak_ptr<PeerClientSession> m_session;
};

// Session that this node opens to a peer. Requests that are submitted while it connects wait for the connection.
class PeerClientSession : public Http2Session
{
public:
    // `onConnectFinished` is called at most once: with true when the connection is established, including the TLS handshake, with false if
    // that failed or took longer than `connectTimeout`. `onSessionEnded` is called once when the session is closed. Both are called on the
    // strand of the session.
    struct Callbacks
    {
        std::function<void(bool)> onConnectFinished;
        std::function<void(const std::shared_ptr<PeerClientSession> &)> onSessionEnded;
    };

    PeerClientSession(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, Callbacks callbacks);

    // Connects to the peer. Called once.
    void start(const Tcp::endpoint &peer);
    // Sends the request, or finishes it with `NotProcessed` if the session is closed or shutting down. May be called from any thread.
    void submit(std::shared_ptr<PeerJob> job);
    // Resets the stream of the job. May be called from any thread.
    void cancel(std::shared_ptr<PeerJob> job);
    // Closes the connection. Requests in progress end with `Interrupted`, waiting ones with `NotProcessed`. May be called from any thread.
    void stop();

protected:
    void onConnectionClosed() override;
    void onRequestReceived(StreamId stream, HttpRequest request) override;
    void onResponseReceived(StreamId stream, HttpResponse response) override;
    void onStreamFailed(StreamId stream, ExchangeError error) override;

private:
    void onConnected(const ErrorCode &error);
    void startStream(const std::shared_ptr<PeerJob> &job);
    std::shared_ptr<PeerClientSession> self();

    Callbacks m_callbacks;
    LazyTimer m_connectTimer;
    bool m_connected = false;
    // Requests that wait until the connection is established.
    std::vector<std::shared_ptr<PeerJob>> m_waitingJobs;
    // Requests in progress.
    std::unordered_map<StreamId, std::shared_ptr<PeerJob>> m_activeJobs;
};

} // namespace wisteriafork
