#include "fleet/callers.h"

#include "core/base/durationseconds.h"
#include "fleet/wirenames.h"

#include <cstdlib>

namespace wisteriafork::fleet {

namespace {

// Host name of the service that callers send their requests to.
constexpr const char *EntryService = "front";
// Delay of a caller's retry after a failure without a retry-after header field.
constexpr Duration DefaultRetryDelay = std::chrono::milliseconds(100);

} // namespace

// The node's side of an attempt.
class Callers::AttemptExchange : public ServerExchange
{
public:
    AttemptExchange(Callers &callers, std::string id) : m_callers(callers), m_id(std::move(id))
    {
    }

    void respond(HttpResponse response) override
    {
        m_callers.onResponse(m_id, response);
    }

private:
    Callers &m_callers;
    const std::string m_id;
};

Callers::Callers(VirtualTime &time, RandomEngine &random, History &history, CallerOptions options, std::vector<Host *> entryHosts)
    : m_time(time), m_random(random), m_history(history), m_options(options), m_entryHosts(std::move(entryHosts))
{
}

void Callers::start(Duration loadTime)
{
    m_loadEnd = m_time.now() + loadTime;
    scheduleNextRequest();
}

void Callers::scheduleNextRequest()
{
    const double delaySeconds = std::exponential_distribution<double>(m_options.requestsPerSecond * m_loadFactor)(m_random);
    m_time.scheduleAfter(fromSeconds(delaySeconds), [this] {
        if (m_time.now() >= m_loadEnd) {
            return;
        }
        const bool booking = std::bernoulli_distribution(m_options.bookingShare)(m_random);
        startRequest(!booking, (booking ? BookPath : ReadPath) + std::to_string(m_history.requests.size()));
        scheduleNextRequest();
    });
}

void Callers::sendBooking(const std::string &target)
{
    startRequest(false, target);
}

void Callers::startRequest(bool idempotent, const std::string &target)
{
    m_history.requests.push_back({.crashesServers = target.starts_with(CrashingPath), .startedAt = m_time.now()});
    sendAttempt({.number = m_history.requests.size() - 1, .idempotent = idempotent, .target = target});
}

void Callers::sendAttempt(Request request)
{
    ++request.attempts;
    std::vector<Host *> running;
    for (Host *host : m_entryHosts) {
        if (host->isNodeRunning()) {
            running.push_back(host);
        }
    }
    if (running.empty()) {
        scheduleRetry(std::move(request), DefaultRetryDelay);
        return;
    }
    Host &host = *running[std::uniform_int_distribution<std::size_t>(0, running.size() - 1)(m_random)];
    const std::string id = "q" + std::to_string(request.number) + "-" + std::to_string(request.attempts);
    m_history.attempts[id] = {.idempotent = request.idempotent, .sentAt = m_time.now(), .entryNodeFailed = host.isNodeFrozen()};
    auto exchange = std::make_shared<AttemptExchange>(*this, id);
    exchange->remoteAddress = "caller";
    exchange->request = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = request.target});
    exchange->request->headers.add("host", EntryService);
    exchange->request->headers.add(simulatedHeaderNames().requestId, id);
    m_openAttempts[id] = {.request = std::move(request), .host = &host, .incarnation = host.incarnation(), .exchange = exchange};
    const bool cancelEarly = std::bernoulli_distribution(m_options.earlyCancelShare)(m_random);
    m_time.scheduleAfter(cancelEarly ? m_options.earlyCancelTimeout : m_options.responseTimeout, [this, id] { cancelAttempt(id); });
    host.runInProcess(host.incarnation(), [&host, exchange] { host.node().callerHandler().handleRequest(exchange); });
}

void Callers::onResponse(const std::string &id, const HttpResponse &response)
{
    CallerAttempt &recorded = m_history.attempts.at(id);
    ++recorded.responses;
    recorded.status = response.status;
    recorded.body = response.body;
    recorded.respondedAt = m_time.now();
    const auto found = m_openAttempts.find(id);
    if (found == m_openAttempts.end()) {
        return;
    }
    Request request = std::move(found->second.request);
    m_openAttempts.erase(found);
    if (response.status == 200) {
        m_history.requests[request.number].succeeded = true;
        return;
    }
    const double retryAfterSeconds = std::strtod(std::string(response.headers.find("retry-after")).c_str(), nullptr);
    if (response.status == 503 || request.idempotent) {
        scheduleRetry(std::move(request), retryAfterSeconds > 0.0 ? fromSeconds(retryAfterSeconds) : DefaultRetryDelay);
    }
}

void Callers::cancelAttempt(const std::string &id)
{
    const auto found = m_openAttempts.find(id);
    if (found == m_openAttempts.end()) {
        return;
    }
    const OpenAttempt open = std::move(found->second);
    m_openAttempts.erase(found);
    CallerAttempt &recorded = m_history.attempts.at(id);
    recorded.cancelled = true;
    recorded.cancelledAt = m_time.now();
    open.host->runInProcess(open.incarnation, [open] { open.host->node().callerHandler().handleCancellation(*open.exchange); });
}

void Callers::scheduleRetry(Request request, Duration delay)
{
    if (request.attempts < m_options.maxAttempts) {
        m_time.scheduleAfter(delay, [this, request = std::move(request)] { sendAttempt(request); });
    }
}

void Callers::onNodeStopped(const Host &host)
{
    std::vector<Request> broken;
    std::erase_if(m_openAttempts, [&](auto &entry) {
        if (entry.second.host != &host) {
            return false;
        }
        m_history.attempts.at(entry.first).entryNodeFailed = true;
        broken.push_back(std::move(entry.second.request));
        return true;
    });
    for (Request &request : broken) {
        if (request.idempotent) {
            scheduleRetry(std::move(request), DefaultRetryDelay);
        }
    }
}

void Callers::onNodeFrozen(const Host &host)
{
    for (const auto &[id, open] : m_openAttempts) {
        if (open.host == &host) {
            m_history.attempts.at(id).entryNodeFailed = true;
        }
    }
}

} // namespace wisteriafork::fleet
