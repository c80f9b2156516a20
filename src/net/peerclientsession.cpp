#include "net/peerclientsession.h"

namespace wisteriafork {

void PeerJob::cancel()
{
    if (m_finished.exchange(true)) {
        return;
    }
    std::shared_ptr<PeerClientSession> session;
    {
        const std::lock_guard lock(m_mutex);
        session = m_session.lock();
    }
    if (session) {
        session->cancel(shared_from_this());
    }
}

void PeerJob::finish(tl::expected<HttpResponse, ExchangeError> result)
{
    if (!m_finished.exchange(true)) {
        const ResponseHandler handler = std::move(m_handler);
        handler(std::move(result));
    }
}

void PeerJob::assignSession(const std::shared_ptr<PeerClientSession> &session)
{
    const std::lock_guard lock(m_mutex);
    m_session = session;
}

PeerClientSession::PeerClientSession(std::unique_ptr<PeerTransport> transport, const PeerOptions &options, Callbacks callbacks)
    : Http2Session(std::move(transport), options, false), m_callbacks(std::move(callbacks)), m_connectTimer(this->transport().strand())
{
}

std::shared_ptr<PeerClientSession> PeerClientSession::self()
{
    return std::static_pointer_cast<PeerClientSession>(shared_from_this());
}

void PeerClientSession::start(const Tcp::endpoint &peer)
{
    asio::dispatch(transport().strand(), [session = self(), peer] {
        session->m_connectTimer.setHandler(session, [raw = session.get()] { raw->onConnected(asio::error::timed_out); });
        session->m_connectTimer.expireAfter(session->options().connectTimeout);
        session->transport().connect(peer, [session](const ErrorCode &error) { session->onConnected(error); });
    });
}

void PeerClientSession::onConnected(const ErrorCode &error)
{
    if (m_connected || isClosed()) {
        return;
    }
    m_connectTimer.cancel();
    m_callbacks.onConnectFinished(!error);
    if (error) {
        close();
        return;
    }
    m_connected = true;
    for (const std::shared_ptr<PeerJob> &job : std::exchange(m_waitingJobs, {})) {
        startStream(job);
    }
    startIo();
}

void PeerClientSession::submit(std::shared_ptr<PeerJob> job)
{
    job->assignSession(self());
    asio::dispatch(transport().strand(), [session = self(), job = std::move(job)] {
        if (session->isClosed() || (session->m_connected && session->engine().isShuttingDown())) {
            job->finish(tl::unexpected(ExchangeError::NotProcessed));
        } else if (!session->m_connected) {
            session->m_waitingJobs.push_back(job);
        } else {
            session->startStream(job);
            session->flush();
        }
    });
}

void PeerClientSession::startStream(const std::shared_ptr<PeerJob> &job)
{
    if (job->isFinished()) {
        return;
    }
    job->stream = engine().submitRequest(job->request, job->extra);
    if (job->stream < 0) {
        job->finish(tl::unexpected(ExchangeError::NotProcessed));
        return;
    }
    m_activeJobs.emplace(job->stream, job);
}

void PeerClientSession::cancel(std::shared_ptr<PeerJob> job)
{
    asio::dispatch(transport().strand(), [session = self(), job = std::move(job)] {
        if (job->stream >= 0 && session->m_activeJobs.erase(job->stream) > 0 && !session->isClosed()) {
            session->engine().cancel(job->stream);
            session->flush();
        }
    });
}

void PeerClientSession::stop()
{
    asio::dispatch(transport().strand(), [session = self()] { session->close(); });
}

void PeerClientSession::onRequestReceived(StreamId, HttpRequest)
{
}

void PeerClientSession::onResponseReceived(StreamId stream, HttpResponse response)
{
    const auto found = m_activeJobs.find(stream);
    if (found != m_activeJobs.end()) {
        const std::shared_ptr<PeerJob> job = found->second;
        m_activeJobs.erase(found);
        job->finish(std::move(response));
    }
}

void PeerClientSession::onStreamFailed(StreamId stream, ExchangeError error)
{
    const auto found = m_activeJobs.find(stream);
    if (found != m_activeJobs.end()) {
        const std::shared_ptr<PeerJob> job = found->second;
        m_activeJobs.erase(found);
        job->finish(tl::unexpected(error));
    }
}

void PeerClientSession::onConnectionClosed()
{
    m_connectTimer.cancel();
    m_callbacks.onSessionEnded(self());
    for (const std::shared_ptr<PeerJob> &job : std::exchange(m_waitingJobs, {})) {
        job->finish(tl::unexpected(ExchangeError::NotProcessed));
    }
    const std::unordered_map<StreamId, std::shared_ptr<PeerJob>> jobs = std::exchange(m_activeJobs, {});
    for (const auto &[stream, job] : jobs) {
        job->finish(tl::unexpected(ExchangeError::Interrupted));
    }
}

} // namespace wisteriafork
