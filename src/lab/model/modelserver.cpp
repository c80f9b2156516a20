#include "lab/model/modelserver.h"

#include <algorithm>
#include <random>
#include <utility>

namespace wisteriafork::lab {

namespace {

// A cold server works at a third of its speed at first, and gets to full speed in this time.
constexpr Duration WarmUp = std::chrono::seconds(5);
constexpr double ColdFactor = 3.0;

} // namespace

ModelServer::ModelServer(const ServiceSpec &spec, EventQueue &events, RandomEngine &random, ServerHooks hooks)
    : m_spec(spec), m_events(events), m_random(random), m_hooks(std::move(hooks)), m_started(events.now())
{
}

bool ModelServer::accept(const Call &call)
{
    if (m_running.size() + m_queue.size() >= m_spec.connections) {
        return false;
    }
    call->inServer = true;
    if (m_running.size() < m_spec.slots) {
        begin(call);
    } else {
        m_queue.push_back(call);
    }
    return true;
}

void ModelServer::cancel(const Call &call)
{
    if (call->ended) {
        return;
    }
    if (call->working) {
        m_hooks.worked(*call->send, m_events.now() - call->workSince);
    }
    call->ended = true;
    if (call->child != nullptr) {
        m_hooks.cancelBelow(call->child);
        call->child = nullptr;
    }
    release(call);
}

void ModelServer::restart()
{
    std::vector<Call> broken(m_running.begin(), m_running.end());
    // The set is ordered by address, which differs between runs of the process.
    std::sort(broken.begin(), broken.end(), [](const Call &first, const Call &second) { return first->call.id < second->call.id; });
    broken.insert(broken.end(), m_queue.begin(), m_queue.end());
    m_running.clear();
    m_queue.clear();
    m_started = m_events.now();
    m_restarted = true;
    for (const Call &call : broken) {
        if (call->working) {
            m_hooks.worked(*call->send, m_events.now() - call->workSince);
        }
        call->ended = true;
        call->child = nullptr;
        m_hooks.ended(call, ReplyKind::Broken);
    }
}

std::uint32_t ModelServer::reportedRunning() const
{
    switch (m_loadEndpoint) {
    case LoadEndpoint::AlwaysIdle:
        return 0;
    case LoadEndpoint::AlwaysFull:
        return m_spec.slots;
    case LoadEndpoint::Honest:
        break;
    }
    return static_cast<std::uint32_t>(m_running.size());
}

void ModelServer::begin(const Call &call)
{
    m_running.insert(call);
    work(call, [this, call] { callNext(call, 0); });
}

// Does half of the work of a call.
void ModelServer::work(const Call &call, std::function<void()> then)
{
    const Duration time = drawWork(call) / 2;
    call->working = true;
    call->workSince = m_events.now();
    m_events.after(time, [this, call, time, then = std::move(then)] {
        if (call->ended) {
            return;
        }
        call->working = false;
        m_hooks.worked(*call->send, time);
        then();
    });
}

void ModelServer::callNext(const Call &call, std::size_t child)
{
    if (child == call->place->children.size()) {
        call->child = nullptr;
        work(call, [this, call] { end(call, ReplyKind::Complete); });
        return;
    }
    call->child = m_hooks.callBelow(*call, call->place->children[child], [this, call, child](const Reply &reply) {
        if (call->ended) {
            return;
        }
        if (reply.kind == ReplyKind::Complete) {
            callNext(call, child + 1);
        } else {
            end(call, ReplyKind::FailedBelow);
        }
    });
}

void ModelServer::end(const Call &call, ReplyKind kind)
{
    call->ended = true;
    call->child = nullptr;
    release(call);
    m_hooks.ended(call, kind);
}

void ModelServer::release(const Call &call)
{
    if (m_running.erase(call) == 0) {
        std::erase(m_queue, call);
        return;
    }
    while (!m_queue.empty() && m_running.size() < m_spec.slots) {
        const Call next = m_queue.front();
        m_queue.pop_front();
        begin(next);
    }
}

Duration ModelServer::drawWork(const Call &call)
{
    // Half of the mean is fixed, the other half exponential.
    const double mean = std::chrono::duration<double>(m_spec.operations[call->place->operation].work).count();
    std::exponential_distribution<double> spread(1.0);
    const double time = mean * (0.5 + 0.5 * spread(m_random)) * speedFactor();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}

double ModelServer::speedFactor() const
{
    double factor = m_slowdown;
    const Duration age = m_events.now() - m_started;
    if (m_restarted && age < WarmUp) {
        factor *= ColdFactor - (ColdFactor - 1.0) * (std::chrono::duration<double>(age) / WarmUp);
    }
    if (m_realSlots > 0 && m_running.size() > m_realSlots) {
        const double excess = static_cast<double>(m_running.size()) / m_realSlots;
        // Contention costs more than the share of the excess: throughput falls beyond the real slots.
        factor *= excess * excess;
    }
    return factor;
}

} // namespace wisteriafork::lab
