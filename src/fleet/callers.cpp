#include "fleet/callers.h"

#include "core/base/durationseconds.h"
#include "fleet/names.h"

#include <cstdlib>

namespace wisteriafork::fleet {

namespace {

// Host name of the service that callers use.
constexpr const char *EntryService = "front";
// Pause of a caller before it sends again without having been told when.
constexpr Duration RepeatPause = std::chrono::milliseconds(100);

} // namespace

class Callers::Exchange : public ServerExchange
{
public:
    Exchange(Callers &callers, std::string id) : m_callers(callers), m_id(std::move(id))
    {
    }

    void respond(HttpResponse response) override
    {
        m_callers.answered(m_id, response);
    }

private:
    Callers &m_callers;
    const std::string m_id;
};

Callers::Callers(VirtualTime &time, RandomEngine &random, History &history, CallerOptions options, std::vector<Host *> entries)
    : m_time(time), m_random(random), m_history(history), m_options(options), m_entries(std::move(entries))
{
}

void Callers::start(Duration time)
{
    m_end = m_time.now() + time;
    next();
}

void Callers::next()
{
    const double pause = std::exponential_distribution<double>(m_options.rate * m_factor)(m_random);
    m_time.after(fromSeconds(pause), [this] {
        if (m_time.now() >= m_end) {
            return;
        }
        const bool booking = std::bernoulli_distribution(m_options.bookings)(m_random);
        begin(!booking, (booking ? BookPath : ReadPath) + std::to_string(m_history.requests.size()));
        next();
    });
}

void Callers::sendBooking(const std::string &target)
{
    begin(false, target);
}

void Callers::begin(bool idempotent, const std::string &target)
{
    m_history.requests.push_back({.poisoned = target.starts_with(PoisonPath), .begun = m_time.now()});
    attempt({.number = m_history.requests.size() - 1, .idempotent = idempotent, .target = target});
}

void Callers::attempt(Request request)
{
    ++request.attempts;
    std::vector<Host *> running;
    for (Host *host : m_entries) {
        if (host->isUp()) {
            running.push_back(host);
        }
    }
    if (running.empty()) {
        again(std::move(request), RepeatPause);
        return;
    }
    Host &host = *running[std::uniform_int_distribution<std::size_t>(0, running.size() - 1)(m_random)];
    const std::string id = "q" + std::to_string(request.number) + "-" + std::to_string(request.attempts);
    m_history.attempts[id] = {.idempotent = request.idempotent, .sent = m_time.now(), .disturbed = host.isFrozen()};
    auto exchange = std::make_shared<Exchange>(*this, id);
    exchange->remoteAddress = "caller";
    exchange->request = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = request.target});
    exchange->request->headers.add("host", EntryService);
    exchange->request->headers.add(modelHeaderNames().requestId, id);
    m_open[id] = {.request = std::move(request), .host = &host, .incarnation = host.incarnation(), .exchange = exchange};
    const bool early = std::bernoulli_distribution(m_options.earlyLeaves)(m_random);
    m_time.after(early ? m_options.earlyLeave : m_options.patience, [this, id] { leave(id); });
    host.run(host.incarnation(), [&host, exchange] { host.node().callerHandler().handleRequest(exchange); });
}

void Callers::answered(const std::string &id, const HttpResponse &response)
{
    CallerAttempt &seen = m_history.attempts.at(id);
    ++seen.answers;
    seen.status = response.status;
    seen.body = response.body;
    seen.answered = m_time.now();
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        return;
    }
    Request request = std::move(found->second.request);
    m_open.erase(found);
    if (response.status == 200) {
        m_history.requests[request.number].succeeded = true;
        return;
    }
    const double pause = std::strtod(std::string(response.headers.find("retry-after")).c_str(), nullptr);
    if (response.status == 503 || request.idempotent) {
        again(std::move(request), pause > 0.0 ? fromSeconds(pause) : RepeatPause);
    }
}

void Callers::leave(const std::string &id)
{
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        return;
    }
    const Open open = std::move(found->second);
    m_open.erase(found);
    CallerAttempt &seen = m_history.attempts.at(id);
    seen.left = true;
    seen.leftAt = m_time.now();
    open.host->run(open.incarnation, [open] { open.host->node().callerHandler().handleCancellation(*open.exchange); });
}

void Callers::again(Request request, Duration pause)
{
    if (request.attempts < m_options.attempts) {
        m_time.after(pause, [this, request = std::move(request)] { attempt(request); });
    }
}

void Callers::hostEnded(const Host &host)
{
    std::vector<Request> broken;
    std::erase_if(m_open, [&](auto &entry) {
        if (entry.second.host != &host) {
            return false;
        }
        m_history.attempts.at(entry.first).disturbed = true;
        broken.push_back(std::move(entry.second.request));
        return true;
    });
    for (Request &request : broken) {
        if (request.idempotent) {
            again(std::move(request), RepeatPause);
        }
    }
}

void Callers::hostFroze(const Host &host)
{
    for (const auto &[id, open] : m_open) {
        if (open.host == &host) {
            m_history.attempts.at(id).disturbed = true;
        }
    }
}

} // namespace wisteriafork::fleet
