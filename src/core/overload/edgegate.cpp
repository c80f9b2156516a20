#include "core/overload/edgegate.h"

#include "core/overload/learntlevel.h"
#include "core/overload/readclosure.h"
#include "core/overload/refusedrequests.h"
#include "core/overload/tenantshares.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wisteriafork {

namespace {

constexpr Duration RetryAfter = std::chrono::seconds(1);
// A call time that was not measured for this long no longer refuses calls, so that one call measures it again.
constexpr Duration CallTimeMemory = std::chrono::seconds(1);
constexpr double CallTimeWeight = 0.05;
// A service counts as under pressure below this level.
constexpr double PressureScale = FullScale - 1.0;

using Path = std::pair<ServiceId, OperationId>;

Refusal refused(RefusalReason reason)
{
    return {.kind = RefusalKind::NotRun, .reason = reason, .retryAfter = RetryAfter};
}

} // namespace

class EdgeGate::Private
{
public:
    struct PathState
    {
        LearntLevel level;
        ReadClosure closure;
        // Mean time of answered calls, in seconds; 0 until known.
        double callTime = 0.0;
        TimePoint timeLearnt;
    };
    struct ServiceState
    {
        std::size_t waiting = 0;
        std::unordered_map<std::uint64_t, std::size_t> callers;
        TenantShares shares;
        // What critical calls of the service have learnt. Closes all its reads, also those that do not cause the overload.
        ReadClosure closure;
    };

    Private(EdgeGateOptions gateOptions, const Clock &nodeClock) : options(gateOptions), clock(nodeClock)
    {
    }

    struct BelowState
    {
        LearntLevel level;
        ReadClosure closure;
    };

    double scaleOf(const Path &path) const;
    double scaleBelow(const OperationId &operation) const;
    bool refuses(const CallDescription &call, LearntLevel &level, const ReadClosure &path, const ReadClosure &service) const;

    EdgeGateOptions options;
    const Clock &clock;
    std::vector<TenantConfiguration> tenants;
    std::map<Path, PathState> paths;
    std::unordered_map<ServiceId, ServiceState> services;
    // Levels of the calls that each operation of the local backend server makes.
    std::unordered_map<OperationId, std::map<Path, BelowState>> below;
    // What the calls of critical operations of the local backend server have learnt.
    ReadClosure closureBelow;
    RefusedRequests refusedRequests{options.refusedLimit, options.refusedMemory};
};

EdgeGate::EdgeGate(EdgeGateOptions options, const Clock &clock) : m_d(std::make_unique<Private>(options, clock))
{
}

EdgeGate::~EdgeGate() = default;

void EdgeGate::configure(std::span<const TenantConfiguration> tenants)
{
    m_d->tenants.assign(tenants.begin(), tenants.end());
}

void EdgeGate::classify(CallDescription &call) const
{
    const bool isRead = !call.internal && call.callClass == CallClass::Read;
    if (m_d->options.resendsEnabled && isRead && m_d->refusedRequests.contains(call.requestHash, m_d->clock.now())) {
        call.callClass = CallClass::Bulk;
    }
}

std::optional<Refusal> EdgeGate::check(const CallDescription &call)
{
    const TimePoint now = m_d->clock.now();
    const Path path(call.service, call.operation);
    Duration expected(0);
    if (const auto known = m_d->paths.find(path); known != m_d->paths.end() && now - known->second.timeLearnt < CallTimeMemory) {
        // Half the mean: calls spread around it, and only those that certainly cannot finish are refused here.
        expected = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(known->second.callTime / 2));
    }
    const bool isChecked = !call.internal && call.callClass != CallClass::Critical;
    if (now + (isChecked ? expected : Duration(0)) >= call.deadline) {
        return refused(RefusalReason::DeadlineTooShort);
    }
    if (call.internal) {
        return std::nullopt;
    }
    const double scale = m_d->scaleOf(path);
    Private::PathState &state = m_d->paths[path];
    const ReadClosure &closure = m_d->services[call.service].closure;
    // The serving node hears of a change first: an old report is not enough to refuse a critical call here.
    const bool isKnown = call.callClass != CallClass::Critical || closure.isFresh(now, m_d->options.closure);
    if (m_d->options.levelsEnabled && isKnown && m_d->refuses(call, state.level, state.closure, closure)) {
        m_d->refusedRequests.add(call.requestHash, now);
        return refused(RefusalReason::Overloaded);
    }
    if (!m_d->options.sharesEnabled || call.callClass == CallClass::Critical) {
        return std::nullopt;
    }
    Private::ServiceState &service = m_d->services[call.service];
    if (scale < PressureScale) {
        const auto caller = service.callers.find(call.callerHash);
        if (caller != service.callers.end() && caller->second >= m_d->options.callerInFlight) {
            return refused(RefusalReason::ShareUsedUp);
        }
        if (service.shares.isUsedUp(call.tenant, m_d->tenants, m_d->options.tenantSlack, now, m_d->options.shareMemory)) {
            return refused(RefusalReason::ShareUsedUp);
        }
    }
    service.shares.count(call.tenant, now, m_d->options.shareMemory);
    return std::nullopt;
}

std::optional<Refusal> EdgeGate::checkBelow(const CallDescription &call)
{
    if (call.internal || !m_d->options.levelsEnabled) {
        return std::nullopt;
    }
    if (call.callClass != CallClass::Critical && m_d->closureBelow.isClosed(m_d->clock.now(), m_d->options.closure)) {
        return refused(RefusalReason::Overloaded);
    }
    const auto found = m_d->below.find(call.operation);
    if (found == m_d->below.end()) {
        return std::nullopt;
    }
    for (auto &[path, state] : found->second) {
        if (m_d->refuses(call, state.level, state.closure, m_d->closureBelow)) {
            return refused(RefusalReason::Overloaded);
        }
    }
    return std::nullopt;
}

std::optional<Refusal> EdgeGate::startWaiting(const CallDescription &call)
{
    Private::ServiceState &service = m_d->services[call.service];
    if (m_d->options.isolationEnabled && service.waiting >= m_d->options.waitingLimit) {
        return refused(RefusalReason::Overloaded);
    }
    ++service.waiting;
    if (!call.internal) {
        ++service.callers[call.callerHash];
    }
    return std::nullopt;
}

void EdgeGate::stopWaiting(const CallDescription &call)
{
    Private::ServiceState &service = m_d->services[call.service];
    service.waiting -= std::min<std::size_t>(1, service.waiting);
    const auto caller = call.internal ? service.callers.end() : service.callers.find(call.callerHash);
    if (caller != service.callers.end() && --caller->second == 0) {
        service.callers.erase(caller);
    }
}

void EdgeGate::learn(const CallDescription &call, const OperationId &parent, const LoadReport &report, Duration elapsed, bool answered)
{
    const TimePoint now = m_d->clock.now();
    const Path path(call.service, call.operation);
    const double scale = std::min(toScale(report.level), toScale(report.levelBelow));
    Private::PathState &state = m_d->paths[path];
    // A level from further below was averaged there; averaging it again at each hop would delay it by the depth of the chain.
    const Duration memory = toScale(report.levelBelow) < toScale(report.level) ? m_d->options.belowMemory : m_d->options.levelMemory;
    state.level.learn(scale, now, memory, m_d->options);
    state.closure.learn(scale, now, m_d->options.closure);
    if (call.callClass == CallClass::Critical) {
        m_d->services[call.service].closure.learn(scale, now, m_d->options.closure);
    }
    if (!answered && !call.internal) {
        m_d->refusedRequests.add(call.requestHash, now);
    }
    if (answered) {
        const double sample = std::chrono::duration<double>(elapsed).count();
        state.callTime += (state.callTime <= 0.0 ? 1.0 : CallTimeWeight) * (sample - state.callTime);
        state.timeLearnt = now;
    }
    if (!parent.empty()) {
        Private::BelowState &below = m_d->below[parent][path];
        below.level.learn(scale, now, memory, m_d->options);
        below.closure.learn(scale, now, m_d->options.closure);
        if (call.callClass == CallClass::Critical) {
            m_d->closureBelow.learn(scale, now, m_d->options.closure);
        }
    }
}

AdmissionLevel EdgeGate::levelOf(const ServiceId &service, const OperationId &operation) const
{
    return fromScale(m_d->scaleOf(Path(service, operation)));
}

AdmissionLevel EdgeGate::levelBelow(const OperationId &operation) const
{
    return fromScale(m_d->scaleBelow(operation));
}

std::size_t EdgeGate::waitingFor(const ServiceId &service) const
{
    const auto found = m_d->services.find(service);
    return found == m_d->services.end() ? 0 : found->second.waiting;
}

double EdgeGate::Private::scaleOf(const Path &path) const
{
    const auto found = paths.find(path);
    return found == paths.end() ? FullScale : found->second.level.scale(clock.now(), options);
}

// Whether the level of a path excludes a call. `service` is what critical calls of the same service have learnt.
bool EdgeGate::Private::refuses(const CallDescription &call, LearntLevel &level, const ReadClosure &path, const ReadClosure &service) const
{
    const TimePoint now = clock.now();
    const bool isAdmitted = admits(level.scale(now, options), call.callClass, call.requestHash);
    if (call.callClass == CallClass::Critical) {
        return !isAdmitted && path.mayRefuseCritical(now, options.closure) && !level.takeProbe(now, options);
    }
    // No read is let through as a probe while critical calls may be refused.
    if (path.isClosed(now, options.closure) || service.isClosed(now, options.closure)) {
        return true;
    }
    return !isAdmitted && !level.takeProbe(now, options);
}

double EdgeGate::Private::scaleBelow(const OperationId &operation) const
{
    double scale = FullScale;
    if (const auto found = below.find(operation); found != below.end()) {
        for (const auto &entry : found->second) {
            scale = std::min(scale, entry.second.level.scale(clock.now(), options));
            if (entry.second.closure.isReported(clock.now(), options.closure)) {
                scale = std::min(scale, CriticalOnlyScale);
            }
        }
    }
    return scale;
}

} // namespace wisteriafork
