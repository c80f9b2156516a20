#include "core/routing/callattribution.h"

#include <algorithm>
#include <unordered_map>

namespace wisteriafork {

class CallAttribution::Private
{
public:
    struct RunningCall
    {
        CallDescription call;
        std::string traceId;
        // Retries that may still be given to calls below, and calls still expected.
        std::uint32_t surplus = 0;
        std::uint32_t expected = 0;
        bool calledBelow = false;
        std::size_t waiting = 0;
        TimePoint waitingSince;
        Duration waited{0};
    };

    RunningCall *find(const AttributionHints &hints);
    static std::uint32_t splitOff(RunningCall &parent);

    std::unordered_map<CallId, RunningCall> running;
    std::unordered_map<std::string, CallId> byRequest;
    std::unordered_map<std::string, CallId> byTrace;
    // Parent of each call below that is not answered yet.
    std::unordered_map<CallId, CallId> parents;
};

CallAttribution::CallAttribution() : m_d(std::make_unique<Private>())
{
}

CallAttribution::~CallAttribution() = default;

void CallAttribution::started(const CallDescription &call, std::string_view traceId, std::uint32_t expectedCalls)
{
    Private::RunningCall &running = m_d->running[call.id];
    running.call = call;
    running.traceId = std::string(traceId);
    running.surplus = call.attemptsLeft > 0 ? call.attemptsLeft - 1 : 0;
    running.expected = expectedCalls;
    // Two calls of one request may run here at the same time; the later one gets the calls below, and the budget of one of them is unused.
    if (!call.requestId.empty()) {
        m_d->byRequest[call.requestId] = call.id;
    }
    if (!running.traceId.empty()) {
        m_d->byTrace[running.traceId] = call.id;
    }
}

Duration CallAttribution::finished(CallId id, TimePoint now)
{
    const auto found = m_d->running.find(id);
    if (found == m_d->running.end()) {
        return Duration(0);
    }
    const Private::RunningCall &running = found->second;
    const Duration waited = running.waited + (running.waiting > 0 ? now - running.waitingSince : Duration(0));
    if (const auto entry = m_d->byRequest.find(running.call.requestId); entry != m_d->byRequest.end() && entry->second == id) {
        m_d->byRequest.erase(entry);
    }
    if (const auto entry = m_d->byTrace.find(running.traceId); entry != m_d->byTrace.end() && entry->second == id) {
        m_d->byTrace.erase(entry);
    }
    m_d->running.erase(found);
    return waited;
}

bool CallAttribution::hasCalledBelow(CallId id) const
{
    const auto found = m_d->running.find(id);
    return found != m_d->running.end() && found->second.calledBelow;
}

CallId CallAttribution::attribute(CallDescription &child, const AttributionHints &hints, TimePoint now)
{
    child.origin = CallOrigin::LocalService;
    child.internal = true;
    Private::RunningCall *parent = m_d->find(hints);
    if (parent == nullptr) {
        child.attemptsLeft = 1;
        return 0;
    }
    child.requestId = parent->call.requestId;
    child.callClass = parent->call.callClass;
    child.tenant = parent->call.tenant;
    child.callerHash = parent->call.callerHash;
    child.requestHash = parent->call.requestHash;
    child.deadline = parent->call.deadline;
    child.attemptsLeft = 1 + Private::splitOff(*parent);
    parent->calledBelow = true;
    if (parent->waiting++ == 0) {
        parent->waitingSince = now;
    }
    m_d->parents[child.id] = parent->call.id;
    return parent->call.id;
}

void CallAttribution::childEnded(CallId child, TimePoint now)
{
    const auto found = m_d->parents.find(child);
    if (found == m_d->parents.end()) {
        return;
    }
    const auto parent = m_d->running.find(found->second);
    if (parent != m_d->running.end() && --parent->second.waiting == 0) {
        parent->second.waited += now - parent->second.waitingSince;
    }
    m_d->parents.erase(found);
}

OperationId CallAttribution::parentOperation(CallId child) const
{
    const auto found = m_d->parents.find(child);
    if (found == m_d->parents.end()) {
        return {};
    }
    const auto parent = m_d->running.find(found->second);
    return parent == m_d->running.end() ? OperationId() : parent->second.call.operation;
}

CallAttribution::Private::RunningCall *CallAttribution::Private::find(const AttributionHints &hints)
{
    auto found = running.end();
    if (const auto entry = byRequest.find(std::string(hints.requestId)); entry != byRequest.end()) {
        found = running.find(entry->second);
    } else if (const auto trace = byTrace.find(std::string(hints.traceId)); trace != byTrace.end()) {
        found = running.find(trace->second);
    }
    return found == running.end() ? nullptr : &found->second;
}

// The last expected call gets all that is left; earlier ones get half, rounded up, because a retry is most useful where it is needed first.
std::uint32_t CallAttribution::Private::splitOff(RunningCall &parent)
{
    const std::uint32_t share = parent.expected == 1 ? parent.surplus : (parent.surplus + 1) / 2;
    parent.surplus -= share;
    parent.expected -= std::min<std::uint32_t>(1, parent.expected);
    return share;
}

} // namespace wisteriafork
