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

// A request to a peer that has no answer yet.
class PeerJob : public ClientExchange, public std::enable_shared_from_this<PeerJob>
{
public:
    PeerJob(std::shared_ptr<const HttpRequest> httpRequest, HttpHeaders extraHeaders, ResponseHandler answerHandler)
        : request(std::move(httpRequest)), extra(std::move(extraHeaders)), m_handler(std::move(answerHandler))
    {
    }

    void cancel() override;
    // Calls the handler, unless it was called or the job was cancelled.
    void finish(tl::expected<HttpResponse, ExchangeError> result);
    void assign(const std::shared_ptr<PeerClientSession> &session);

    bool isFinished() const
    {
        return m_finished;
    }

    const std::shared_ptr<const HttpRequest> request;
    const HttpHeaders extra;
    // Used on the strand of the session; negative before the stream is started.
    Http2Observer::StreamId stream = -1;

private:
    ResponseHandler m_handler;
    std::atomic<bool> m_finished = false;
    std::mutex m_mutex;
    std::weak_ptr<PeerClientSession> m_session;
};

// Session that this node has opened to a peer. Requests that arrive while it connects wait for it.
class PeerClientSession : public Http2Session
{
public:
    // `connected` tells whether the first connection attempt succeeded, `ended` that the session takes no further requests. Both are called
    // on the strand.
    struct Callbacks
    {
        std::function<void(bool)> connected;
        std::function<void(const std::shared_ptr<PeerClientSession> &)> ended;
    };

    PeerClientSession(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, Callbacks callbacks);

    // Connects to the peer. Called once.
    void start(const Tcp::endpoint &peer);
    // Sends the request. A session that has ended reports `NotProcessed`. Any thread.
    void submit(std::shared_ptr<PeerJob> job);
    // Resets the stream of the job. Any thread.
    void cancel(std::shared_ptr<PeerJob> job);
    // Closes the connection; open requests end with `Interrupted`. Any thread.
    void stop();

protected:
    void connectionClosed() override;
    void requestReceived(StreamId stream, HttpRequest request) override;
    void responseReceived(StreamId stream, HttpResponse response) override;
    void streamFailed(StreamId stream, ExchangeError error) override;

private:
    void onConnected(const ErrorCode &error);
    void startStream(const std::shared_ptr<PeerJob> &job);
    std::shared_ptr<PeerClientSession> self();

    Callbacks m_callbacks;
    LazyTimer m_connectTimer;
    bool m_connected = false;
    // Requests that wait for the connection.
    std::vector<std::shared_ptr<PeerJob>> m_waiting;
    std::unordered_map<StreamId, std::shared_ptr<PeerJob>> m_jobs;
};

} // namespace wisteriafork
