#pragma once

#include "core/base/clock.h"
#include "core/base/random.h"
#include "lab/model/eventqueue.h"
#include "lab/model/graphspec.h"
#include "lab/model/modelcall.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_set>

namespace wisteriafork::lab {

// What the load endpoint of a backend server answers.
enum class LoadEndpoint : std::uint8_t {
    Honest,
    AlwaysIdle,
    AlwaysFull,
};

// What a server tells its surroundings.
struct ServerHooks
{
    // Makes a call to another service, and answers the outgoing call's `reply`.
    std::function<std::shared_ptr<OutgoingCall>(const ServedCall &, const CallTree &, std::function<void(const Reply &)>)> callBelow;
    std::function<void(const std::shared_ptr<OutgoingCall> &)> cancelBelow;
    std::function<void(const std::shared_ptr<ServedCall> &, ReplyKind)> ended;
    // Time spent on a send.
    std::function<void(RequestSend &, Duration)> worked;
};

// Backend server with a fixed number of slots, a queue of its own up to its connections, a cold start, cancellation, and a load endpoint
// that can mislead. A call holds its slot until it ends, also while it waits for calls below.
class ModelServer
{
public:
    ModelServer(const ServiceSpec &spec, EventQueue &events, RandomEngine &random, ServerHooks hooks);

    // Runs or queues the call; false if all connections are in use.
    bool accept(const std::shared_ptr<ServedCall> &call);
    // Ends a call at once, without a reply.
    void cancel(const std::shared_ptr<ServedCall> &call);
    // The process dies and starts again: connections of all calls break, and it is cold for a while.
    void restart();

    // Factor on the time of all work.
    void setSlowdown(double factor)
    {
        m_slowdown = factor;
    }

    void setLoadEndpoint(LoadEndpoint mode)
    {
        m_loadEndpoint = mode;
    }

    // Number of slots that work at full speed; beyond it each running call slows all others. For servers whose questionnaire is too
    // optimistic.
    void setRealSlots(unsigned slots)
    {
        m_realSlots = slots;
    }

    std::uint32_t reportedRunning() const;

    std::uint32_t slots() const
    {
        return m_spec.slots;
    }

private:
    using Call = std::shared_ptr<ServedCall>;

    void begin(const Call &call);
    void work(const Call &call, std::function<void()> then);
    void callNext(const Call &call, std::size_t child);
    void end(const Call &call, ReplyKind kind);
    void release(const Call &call);
    Duration drawWork(const Call &call);
    double speedFactor() const;

    const ServiceSpec &m_spec;
    EventQueue &m_events;
    RandomEngine &m_random;
    ServerHooks m_hooks;
    std::unordered_set<Call> m_running;
    std::deque<Call> m_queue;
    double m_slowdown = 1.0;
    unsigned m_realSlots = 0;
    TimePoint m_started;
    bool m_restarted = false;
    LoadEndpoint m_loadEndpoint = LoadEndpoint::Honest;
};

} // namespace wisteriafork::lab
