#include "core/overload/edgegate.h"

#include "core/overload/learntlevel.h"
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
        // Mean time of answered calls, in seconds; 0 until known.
        double callTime = 0.0;
        TimePoint timeLearnt;
    };
    struct ServiceState
    {
        std::size_t waiting = 0;
        std::unordered_map<std::uint64_t, std::size_t> callers;
        TenantShares shares;
        // When a level that excludes critical calls was last reported.
        TimePoint criticalCut;
    };

    Private(EdgeGateOptions gateOptions, const Clock &nodeClock) : options(gateOptions), clock(nodeClock)
    {
    }

    double scaleOf(const Path &path) const;
    double scaleBelow(const OperationId &operation) const;
    bool takeProbe(LearntLevel &level, TimePoint criticalCut) const;

    EdgeGateOptions options;
    const Clock &clock;
    std::vector<TenantConfiguration> tenants;
    std::map<Path, PathState> paths;
    std::unordered_map<ServiceId, ServiceState> services;
    // Levels of the calls that each operation of the local backend server makes.
    std::unordered_map<OperationId, std::map<Path, LearntLevel>> below;
    TimePoint criticalCutBelow;
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
    if (now + expected >= call.deadline) {
        return refused(RefusalReason::DeadlineTooShort);
    }
    if (call.internal) {
        return std::nullopt;
    }
    const double scale = m_d->scaleOf(path);
    if (m_d->options.levelsEnabled && !admits(scale, call.callClass, call.requestHash)
        && !m_d->takeProbe(m_d->paths[path].level, m_d->services[call.service].criticalCut)) {
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
    const auto found = m_d->below.find(call.operation);
    if (found == m_d->below.end()) {
        return std::nullopt;
    }
    const TimePoint now = m_d->clock.now();
    for (auto &entry : found->second) {
        LearntLevel &level = entry.second;
        if (!admits(level.scale(now, m_d->options), call.callClass, call.requestHash) && !m_d->takeProbe(level, m_d->criticalCutBelow)) {
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
    state.level.learn(scale, now, m_d->options);
    if (scale < CutsPerClass) {
        m_d->services[call.service].criticalCut = now;
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
        m_d->below[parent][path].learn(scale, now, m_d->options);
        m_d->criticalCutBelow = scale < CutsPerClass ? now : m_d->criticalCutBelow;
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

// No read is let through as a probe while critical calls are refused.
bool EdgeGate::Private::takeProbe(LearntLevel &level, TimePoint criticalCut) const
{
    const TimePoint now = clock.now();
    return now - criticalCut >= options.levelHold && level.takeProbe(now, options);
}

double EdgeGate::Private::scaleBelow(const OperationId &operation) const
{
    double scale = FullScale;
    if (const auto found = below.find(operation); found != below.end()) {
        for (const auto &entry : found->second) {
            scale = std::min(scale, entry.second.scale(clock.now(), options));
        }
    }
    return scale;
}

} // namespace wisteriafork
