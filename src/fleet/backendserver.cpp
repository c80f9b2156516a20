#include "fleet/backendserver.h"

#include "core/base/durationseconds.h"
#include "fleet/names.h"

#include <charconv>
#include <vector>

namespace wisteriafork::fleet {

namespace {

// Time from the node to the backend server beside it.
constexpr Duration LocalLatency = std::chrono::microseconds(100);
// Time after which a poisoned request stops the backend server.
constexpr Duration CrashTime = std::chrono::milliseconds(5);
// Time by which a request that hangs is answered late: longer than callers and nodes wait.
constexpr Duration HangTime = std::chrono::milliseconds(4000);

} // namespace

struct BackendServer::Job
{
    std::uint64_t number = 0;
    std::string id;
    std::string target;
    std::int64_t remaining = 0;
    ResponseHandler handler;
    bool running = false;
    std::shared_ptr<CallExchange> call = nullptr;
};

class BackendServer::SentJob : public ClientExchange
{
public:
    SentJob(BackendServer &server, std::shared_ptr<Job> job) : m_server(server), m_job(std::move(job))
    {
    }

    void cancel() override
    {
        m_job->handler = nullptr;
        m_server.end(m_job);
    }

private:
    BackendServer &m_server;
    const std::shared_ptr<Job> m_job;
};

// A call of the backend server for one of its requests.
class BackendServer::CallExchange : public ServerExchange
{
public:
    CallExchange(BackendServer &server, std::weak_ptr<Job> job) : m_server(server), m_job(std::move(job))
    {
    }

    void respond(HttpResponse response) override
    {
        answered = true;
        m_server.m_time.after(LocalLatency, [&server = m_server, job = m_job, status = response.status] {
            if (const std::shared_ptr<Job> open = job.lock()) {
                server.finish(open, status);
            }
        });
    }

    bool answered = false;

private:
    BackendServer &m_server;
    const std::weak_ptr<Job> m_job;
};

BackendServer::BackendServer(VirtualTime &time, RandomEngine &random, History &history, BackendServerOptions options, NodeAccess node)
    : m_time(time), m_random(random), m_history(history), m_options(std::move(options)), m_node(std::move(node))
{
}

void BackendServer::start(std::string instance)
{
    m_instance = std::move(instance);
    m_up = true;
}

void BackendServer::stop()
{
    m_up = false;
    breakAll();
}

void BackendServer::nodeEnded()
{
    for (const auto &[number, job] : std::exchange(m_jobs, {})) {
        job->handler = nullptr;
    }
}

std::shared_ptr<ClientExchange> BackendServer::send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra, ResponseHandler handler)
{
    auto job = std::make_shared<Job>(Job{.number = ++m_lastJob,
                                         .id = std::string(request->headers.find(modelHeaderNames().requestId)),
                                         .target = request->target,
                                         .handler = std::move(handler)});
    const std::string_view remaining = extra.find(modelHeaderNames().deadline);
    std::from_chars(remaining.data(), remaining.data() + remaining.size(), job->remaining);
    auto sent = std::make_shared<SentJob>(*this, job);
    if (!m_up) {
        m_time.after(LocalLatency, [job] {
            if (const ResponseHandler notSent = std::exchange(job->handler, nullptr)) {
                notSent(tl::unexpected(ExchangeError::NotProcessed));
            }
        });
        return sent;
    }
    const bool other = extra.find(modelHeaderNames().expectedInstance) != m_instance;
    const bool full = m_jobs.size() >= m_options.slots + m_options.queue;
    if (other || full || draws(trouble.refusals)) {
        HttpResponse refusal{.status = other ? 421U : 503U};
        refusal.headers.add(modelHeaderNames().notExecuted, "1");
        m_time.after(LocalLatency, [this, job, refusal = std::move(refusal)]() mutable { respond(job, std::move(refusal)); });
        return sent;
    }
    m_jobs.emplace(job->number, job);
    m_time.after(LocalLatency, [this, job] {
        if (job->handler) {
            begin(job);
        }
    });
    return sent;
}

void BackendServer::begin(const std::shared_ptr<Job> &job)
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
        {.id = job->id, .service = m_options.service, .instance = m_instance, .at = m_time.now(), .remaining = job->remaining});
    if (m_options.callee.empty() && job->target.starts_with(PoisonPath)) {
        m_time.after(CrashTime, [this, job] {
            if (m_jobs.contains(job->number)) {
                crash(job->target);
            }
        });
        return;
    }
    const Duration hang = draws(trouble.hangs) ? HangTime : Duration(0);
    const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
    const Duration work = fromSeconds(toSeconds(m_options.workTime) * trouble.slowness * spread);
    m_time.after(work + hang, [this, job] {
        if (!m_jobs.contains(job->number)) {
            return;
        }
        if (m_options.callee.empty()) {
            finish(job, 200);
        } else {
            call(job);
        }
    });
}

void BackendServer::call(const std::shared_ptr<Job> &job)
{
    job->call = std::make_shared<CallExchange>(*this, job);
    auto request = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = job->target});
    request->headers.add("host", m_options.callee);
    request->headers.add(modelHeaderNames().requestId, job->id + ".1");
    request->headers.add(modelHeaderNames().deadline, std::to_string(job->remaining));
    job->call->request = std::move(request);
    if (!m_node([call = job->call](ServerHandler &node) { node.handleRequest(call); })) {
        job->call = nullptr;
        finish(job, 500);
    }
}

void BackendServer::finish(const std::shared_ptr<Job> &job, unsigned status)
{
    const unsigned own = status != 200 || draws(trouble.failures) ? 500 : 200;
    HttpResponse response{.status = own, .body = "done " + job->id};
    response.headers.add(modelHeaderNames().requestId, job->id);
    response.headers.add(modelHeaderNames().responseOrigin, "seal");
    response.headers.add(modelHeaderNames().instanceLoad, std::to_string(m_jobs.size()) + "," + std::to_string(m_options.slots));
    respond(job, std::move(response));
}

void BackendServer::respond(const std::shared_ptr<Job> &job, HttpResponse response)
{
    const ResponseHandler handler = std::exchange(job->handler, nullptr);
    end(job);
    if (!handler) {
        return;
    }
    if (response.status < 400 && draws(trouble.lostAnswers)) {
        handler(tl::unexpected(ExchangeError::Interrupted));
    } else {
        handler(std::move(response));
    }
}

void BackendServer::end(const std::shared_ptr<Job> &job)
{
    if (m_jobs.erase(job->number) == 0) {
        return;
    }
    if (const std::shared_ptr<CallExchange> open = std::exchange(job->call, nullptr); open && !open->answered) {
        m_node([open](ServerHandler &node) { node.handleCancellation(*open); });
    }
    // The next one in the queue gets the slot.
    for (const auto &[number, waiting] : std::map(m_jobs)) {
        begin(waiting);
    }
}

void BackendServer::crash(const std::string &target)
{
    m_history.crashes[target].push_back(m_time.now());
    stop();
    crashed();
}

void BackendServer::breakAll()
{
    for (const auto &[number, job] : std::exchange(m_jobs, {})) {
        if (const ResponseHandler handler = std::exchange(job->handler, nullptr)) {
            handler(tl::unexpected(ExchangeError::Interrupted));
        }
    }
}

bool BackendServer::draws(double share)
{
    return share > 0.0 && std::bernoulli_distribution(share)(m_random);
}

} // namespace wisteriafork::fleet
