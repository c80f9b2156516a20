#include "fleet/backendserver.h"

#include "core/base/durationseconds.h"
#include "fleet/wirenames.h"

#include <charconv>
#include <vector>

namespace wisteriafork::fleet {

namespace {

// Time that a message takes one way between a node and the local backend server.
constexpr Duration LocalLatency = std::chrono::microseconds(100);
// Time from the start of a crashing request to the crash.
constexpr Duration CrashDelay = std::chrono::milliseconds(5);
// Additional time until a hanging request gets its response: longer than callers and nodes wait.
constexpr Duration HangDelay = std::chrono::milliseconds(4000);

} // namespace

struct BackendServer::Job
{
    std::uint64_t number = 0;
    std::string id;
    std::string target;
    std::int64_t remainingMs = 0;
    ResponseHandler handler;
    bool running = false;
    std::shared_ptr<CallExchange> call = nullptr;
};

// The node's side of a request.
class BackendServer::JobExchange : public ClientExchange
{
public:
    JobExchange(BackendServer &server, std::shared_ptr<Job> job) : m_server(server), m_job(std::move(job))
    {
    }

    void cancel() override
    {
        m_job->handler = nullptr;
        m_server.releaseJob(m_job);
    }

private:
    BackendServer &m_server;
    const std::shared_ptr<Job> m_job;
};

// A call to the next service, made for one of the requests.
class BackendServer::CallExchange : public ServerExchange
{
public:
    CallExchange(BackendServer &server, std::weak_ptr<Job> job) : m_server(server), m_job(std::move(job))
    {
    }

    void respond(HttpResponse response) override
    {
        responded = true;
        m_server.m_time.scheduleAfter(LocalLatency, [&server = m_server, job = m_job, status = response.status] {
            if (const std::shared_ptr<Job> open = job.lock()) {
                server.finishJob(open, status);
            }
        });
    }

    bool responded = false;

private:
    BackendServer &m_server;
    const std::weak_ptr<Job> m_job;
};

BackendServer::BackendServer(VirtualTime &time, RandomEngine &random, History &history, BackendServerOptions options, NodeAccess nodeAccess)
    : m_time(time), m_random(random), m_history(history), m_options(std::move(options)), m_nodeAccess(std::move(nodeAccess))
{
}

void BackendServer::start(std::string instance)
{
    m_instance = std::move(instance);
    m_running = true;
}

void BackendServer::stop()
{
    m_running = false;
    abortJobs();
}

void BackendServer::onNodeStopped()
{
    for (const auto &[number, job] : std::exchange(m_jobs, {})) {
        job->handler = nullptr;
    }
}

std::shared_ptr<ClientExchange> BackendServer::send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra, ResponseHandler handler)
{
    auto job = std::make_shared<Job>(Job{.number = ++m_lastJobNumber,
                                         .id = std::string(request->headers.find(simulatedHeaderNames().requestId)),
                                         .target = request->target,
                                         .handler = std::move(handler)});
    const std::string_view deadlineText = extra.find(simulatedHeaderNames().deadline);
    std::from_chars(deadlineText.data(), deadlineText.data() + deadlineText.size(), job->remainingMs);
    auto jobExchange = std::make_shared<JobExchange>(*this, job);
    if (!m_running) {
        m_time.scheduleAfter(LocalLatency, [job] {
            if (const ResponseHandler pendingHandler = std::exchange(job->handler, nullptr)) {
                pendingHandler(tl::unexpected(ExchangeError::NotProcessed));
            }
        });
        return jobExchange;
    }
    const bool wrongInstance = extra.find(simulatedHeaderNames().expectedInstance) != m_instance;
    const bool queueFull = m_jobs.size() >= m_options.slots + m_options.queueLimit;
    if (wrongInstance || queueFull || drawChance(faults.refusalShare)) {
        HttpResponse refusal{.status = wrongInstance ? 421U : 503U};
        refusal.headers.add(simulatedHeaderNames().notExecuted, "1");
        m_time.scheduleAfter(LocalLatency, [this, job, refusal = std::move(refusal)]() mutable { sendResponse(job, std::move(refusal)); });
        return jobExchange;
    }
    m_jobs.emplace(job->number, job);
    m_time.scheduleAfter(LocalLatency, [this, job] {
        if (job->handler) {
            startJob(job);
        }
    });
    return jobExchange;
}

void BackendServer::startJob(const std::shared_ptr<Job> &job)
{
    std::size_t running = 0;
    for (const auto &[number, other] : m_jobs) {
        running += other->running ? 1 : 0;
    }
    if (job->running || running >= m_options.slots || !m_jobs.contains(job->number)) {
        return;
    }
    job->running = true;
    m_history.executions.push_back(
        {.id = job->id, .service = m_options.service, .instance = m_instance, .startedAt = m_time.now(), .remainingMs = job->remainingMs});
    if (m_options.callee.empty() && job->target.starts_with(CrashingPath)) {
        m_time.scheduleAfter(CrashDelay, [this, job] {
            if (m_jobs.contains(job->number)) {
                crash(job->target);
            }
        });
        return;
    }
    const Duration hang = drawChance(faults.hangShare) ? HangDelay : Duration(0);
    const double workFactor = std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
    const Duration work = fromSeconds(toSeconds(m_options.meanWorkTime) * faults.slowdownFactor * workFactor);
    m_time.scheduleAfter(work + hang, [this, job] {
        if (!m_jobs.contains(job->number)) {
            return;
        }
        if (m_options.callee.empty()) {
            finishJob(job, 200);
        } else {
            callNextService(job);
        }
    });
}

void BackendServer::callNextService(const std::shared_ptr<Job> &job)
{
    job->call = std::make_shared<CallExchange>(*this, job);
    auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = job->target});
    request->headers.add("host", m_options.callee);
    request->headers.add(simulatedHeaderNames().requestId, job->id + ".1");
    request->headers.add(simulatedHeaderNames().deadline, std::to_string(job->remainingMs));
    job->call->request = std::move(request);
    if (!m_nodeAccess([call = job->call](ServerHandler &node) { node.handleRequest(call); })) {
        job->call = nullptr;
        finishJob(job, 500);
    }
}

void BackendServer::finishJob(const std::shared_ptr<Job> &job, unsigned status)
{
    const unsigned ownStatus = status != 200 || drawChance(faults.failureShare) ? 500 : 200;
    HttpResponse response{.status = ownStatus, .body = "done " + job->id};
    response.headers.add(simulatedHeaderNames().requestId, job->id);
    response.headers.add(simulatedHeaderNames().responseOrigin, "seal");
    response.headers.add(simulatedHeaderNames().instanceLoad, std::to_string(m_jobs.size()) + "," + std::to_string(m_options.slots));
    sendResponse(job, std::move(response));
}

void BackendServer::sendResponse(const std::shared_ptr<Job> &job, HttpResponse response)
{
    const ResponseHandler handler = std::exchange(job->handler, nullptr);
    releaseJob(job);
    if (!handler) {
        return;
    }
    if (response.status < 400 && drawChance(faults.lostAnswerShare)) {
        handler(tl::unexpected(ExchangeError::Interrupted));
    } else {
        handler(std::move(response));
    }
}

void BackendServer::releaseJob(const std::shared_ptr<Job> &job)
{
    if (m_jobs.erase(job->number) == 0) {
        return;
    }
    if (const std::shared_ptr<CallExchange> open = std::exchange(job->call, nullptr); open && !open->responded) {
        m_nodeAccess([open](ServerHandler &node) { node.handleCancellation(*open); });
    }
    // The next request that waits gets the free slot.
    for (const auto &[number, waiting] : std::map(m_jobs)) {
        startJob(waiting);
    }
}

void BackendServer::crash(const std::string &target)
{
    m_history.crashes[target].push_back(m_time.now());
    stop();
    onCrash();
}

void BackendServer::abortJobs()
{
    for (const auto &[number, job] : std::exchange(m_jobs, {})) {
        if (const ResponseHandler handler = std::exchange(job->handler, nullptr)) {
            handler(tl::unexpected(ExchangeError::Interrupted));
        }
    }
}

bool BackendServer::drawChance(double probability)
{
    return probability > 0.0 && std::bernoulli_distribution(probability)(m_random);
}

void BackendServer::probe(std::function<void(bool accepted)> handler)
{
    m_time.scheduleAfter(Duration(0), [this, handler = std::move(handler)] { handler(m_running); });
}

} // namespace wisteriafork::fleet
