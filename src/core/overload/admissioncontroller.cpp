#include "core/overload/admissioncontroller.h"

#include "core/overload/admissionindexes.h"
#include "core/overload/callqueue.h"
#include "core/overload/concurrencylimit.h"
#include "core/overload/holdingestimate.h"
#include "core/overload/isolation.h"
#include "core/overload/levelinforce.h"
#include "core/overload/operationprofile.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace wisteriafork {

namespace {

// Weight of one call in the mean holding time of its operation.
constexpr double HoldingWeight = 0.05;
// A holding time that was not measured for this long no longer refuses calls, so that one call measures it again.
constexpr Duration HoldingMemory = std::chrono::seconds(1);
constexpr Duration ShortestRetryAfter = std::chrono::seconds(1);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

CallRank rankOf(const CallDescription &call)
{
    if (call.callClass == CallClass::Critical) {
        return CallRank::Critical;
    }
    if (call.internal) {
        return CallRank::Internal;
    }
    return call.callClass == CallClass::Read ? CallRank::Read : CallRank::Bulk;
}

} // namespace

class AdmissionController::Private
{
public:
    struct RunningCall
    {
        std::size_t operation = 0;
        TimePoint started;
    };

    Private(AdmissionOptions admissionOptions, const Clock &nodeClock)
        : options(admissionOptions)
        , clock(nodeClock)
        , limit(options.limit, clock)
        , level(options.level, options.closure, options.levelEnabled, clock)
        , queue(options.order, options.fairnessEnabled)
        , isolation(options.isolationShare, options.isolationEnabled)
    {
        operations.resize(1);
    }

    AdmissionResult decide(const CallDescription &call);
    AdmissionResult decideCritical(const CallDescription &call, std::size_t operation, bool mustWait);
    std::optional<Refusal> checkLoad(const CallDescription &call, std::size_t operation) const;
    bool cannotFinish(const OperationProfile &operation, TimePoint deadline, double wait) const;
    double expectedWait(CallRank rank, std::size_t operation) const;
    double capacity() const;
    bool hasFreeSlot() const;
    bool isIdle() const;
    void start(CallId id, std::size_t operation);
    void enqueue(const CallDescription &call, std::size_t operation);
    void makeRoom(CallRank rank);
    void refuseWaiting(CallId id, RefusalReason reason);
    void refuseLate();
    void refreshBlocked();
    void updateLevel();
    Refusal refusal(RefusalReason reason) const;

    AdmissionOptions options;
    const Clock &clock;
    ConcurrencyLimit limit;
    LevelInForce level;
    CallQueue queue;
    Isolation isolation;
    std::vector<OperationProfile> operations;
    AdmissionIndexes<OperationId> operationIndexes;
    AdmissionIndexes<TenantId> tenantIndexes;
    std::unordered_map<CallId, RunningCall> running;
    std::vector<AdmissionResult> pending;
    std::vector<bool> blocked;
    HoldingEstimate holding;
};

AdmissionController::AdmissionController(AdmissionOptions options, const Clock &clock) : m_d(std::make_unique<Private>(options, clock))
{
}

AdmissionController::~AdmissionController() = default;

void AdmissionController::configure(const ServiceConfiguration &service, std::span<const TenantConfiguration> tenants)
{
    for (const OperationConfiguration &operation : service.operations) {
        const std::size_t index = m_d->operationIndexes.add(operation.id);
        m_d->operations.resize(m_d->operationIndexes.size());
        OperationProfile &profile = m_d->operations[index];
        profile.id = operation.id;
        if (profile.running == 0) {
            profile.dependencies.clear();
            for (const ServiceId &callee : operation.calls) {
                profile.dependencies.push_back(m_d->isolation.dependencyIndex(callee));
            }
        }
    }
    for (const TenantConfiguration &tenant : tenants) {
        m_d->tenantIndexes.add(tenant.id);
    }
    std::vector<double> weights(m_d->tenantIndexes.size(), 1.0);
    for (const TenantConfiguration &tenant : tenants) {
        weights[m_d->tenantIndexes.indexOf(tenant.id)] = std::max(tenant.weight, 1e-6);
    }
    m_d->queue.setTenants(std::move(weights));
    m_d->limit.setSlots(service.slots, m_d->operations.size());
    m_d->refreshBlocked();
}

AdmissionResult AdmissionController::offer(const CallDescription &call)
{
    m_d->updateLevel();
    return m_d->decide(call);
}

void AdmissionController::finish(CallId id, CallOutcome outcome, Duration waitedBelow)
{
    const auto found = m_d->running.find(id);
    if (found == m_d->running.end()) {
        return;
    }
    const Private::RunningCall call = found->second;
    const Duration held = m_d->clock.now() - call.started;
    m_d->limit.finished(call.operation, std::max(Duration(0), held - waitedBelow), outcome, static_cast<unsigned>(m_d->running.size()),
                        call.started);
    OperationProfile &operation = m_d->operations[call.operation];
    if (outcome == CallOutcome::Completed || outcome == CallOutcome::TimedOut) {
        const double sample = seconds(held);
        operation.holdingTime += (operation.holdingTime <= 0.0 ? 1.0 : HoldingWeight) * (sample - operation.holdingTime);
        operation.lastSample = m_d->clock.now();
        m_d->holding.sample(sample);
    }
    m_d->holding.ended(call.started);
    m_d->running.erase(found);
    --operation.running;
    m_d->isolation.ended(operation);
    m_d->refreshBlocked();
}

bool AdmissionController::cancel(CallId id)
{
    if (m_d->queue.remove(id)) {
        return false;
    }
    std::erase_if(m_d->pending, [id](const AdmissionResult &result) { return result.id == id; });
    if (!m_d->running.contains(id)) {
        return false;
    }
    finish(id, CallOutcome::Cancelled);
    return true;
}

std::vector<AdmissionResult> AdmissionController::poll()
{
    m_d->updateLevel();
    m_d->refuseLate();
    while (m_d->hasFreeSlot()) {
        const std::optional<WaitingCall> next = m_d->queue.pop(m_d->blocked);
        if (!next) {
            break;
        }
        m_d->start(next->id, next->operation);
        m_d->pending.push_back({.id = next->id, .verdict = AdmissionVerdict::Run, .refusal = {}});
    }
    return std::exchange(m_d->pending, {});
}

void AdmissionController::serverLoadRead(std::uint32_t running, std::uint32_t slots)
{
    m_d->limit.hint(running, slots, static_cast<unsigned>(m_d->running.size()));
}

void AdmissionController::serverRestarted()
{
    m_d->limit.restart();
}

LoadReport AdmissionController::report()
{
    m_d->updateLevel();
    LoadReport load;
    load.limit = m_d->limit.limit();
    load.running = static_cast<std::uint32_t>(m_d->running.size());
    load.queued = static_cast<std::uint32_t>(m_d->queue.size());
    load.serviceTime = fromSeconds(m_d->holding.finished());
    load.level = m_d->level.nextLevel();
    return load;
}

std::size_t AdmissionController::runningCount() const
{
    return m_d->running.size();
}

std::size_t AdmissionController::queuedCount() const
{
    return m_d->queue.size();
}

AdmissionResult AdmissionController::Private::decide(const CallDescription &call)
{
    const std::size_t operation = operationIndexes.indexOf(call.operation);
    operations[operation].lastOffered = clock.now();
    const CallRank rank = options.priorityEnabled ? rankOf(call) : CallRank::Read;
    const bool isBlocked = operation < blocked.size() && blocked[operation];
    const bool mustWait = !hasFreeSlot() || isBlocked || (queue.size() > 0 && queue.hasEligible(rank, blocked));
    if (rank == CallRank::Critical) {
        return decideCritical(call, operation, mustWait);
    }
    level.readOffered();
    if (const std::optional<Refusal> refused = checkLoad(call, operation)) {
        return {.id = call.id, .verdict = AdmissionVerdict::Refused, .refusal = *refused};
    }
    level.arrived(call.callClass, call.requestHash);
    if (!mustWait) {
        start(call.id, operation);
        return {.id = call.id, .verdict = AdmissionVerdict::Run, .refusal = {}};
    }
    if (queue.size() >= options.queueLimit) {
        makeRoom(rank);
        if (queue.size() >= options.queueLimit) {
            return {.id = call.id, .verdict = AdmissionVerdict::Refused, .refusal = refusal(RefusalReason::Overloaded)};
        }
    }
    enqueue(call, operation);
    return {.id = call.id, .verdict = AdmissionVerdict::Queued, .refusal = {}};
}

// A critical call is refused for load only when reads have been closed for the grace time: the first one that would have to be refused
// closes the level for all other classes, and waits.
AdmissionResult AdmissionController::Private::decideCritical(const CallDescription &call, std::size_t operation, bool mustWait)
{
    level.arrived(call.callClass, call.requestHash);
    const bool hopeless = options.deadlineCheckEnabled && cannotFinish(operations[operation], call.deadline, 0.0);
    if (hopeless && (!call.internal || !options.internalWaitEnabled) && level.refusesCritical()) {
        return {.id = call.id, .verdict = AdmissionVerdict::Refused, .refusal = refusal(RefusalReason::DeadlineTooShort)};
    }
    if (!mustWait) {
        start(call.id, operation);
        return {.id = call.id, .verdict = AdmissionVerdict::Run, .refusal = {}};
    }
    const bool late
        = options.deadlineCheckEnabled && cannotFinish(operations[operation], call.deadline, expectedWait(CallRank::Critical, operation));
    if (late || queue.size() >= options.queueLimit) {
        makeRoom(CallRank::Critical);
        const bool full = queue.size() >= 2 * options.queueLimit;
        const bool waits = call.internal && options.internalWaitEnabled;
        if (level.refusesCritical() ? !waits || full : full) {
            return {.id = call.id, .verdict = AdmissionVerdict::Refused, .refusal = refusal(RefusalReason::Overloaded)};
        }
    }
    enqueue(call, operation);
    return {.id = call.id, .verdict = AdmissionVerdict::Queued, .refusal = {}};
}

std::optional<Refusal> AdmissionController::Private::checkLoad(const CallDescription &call, std::size_t operation) const
{
    if (!call.internal && !level.admitsCall(call.callClass, call.requestHash)) {
        return refusal(RefusalReason::Overloaded);
    }
    const CallRank rank = options.priorityEnabled ? rankOf(call) : CallRank::Read;
    if (call.internal && options.internalWaitEnabled) {
        return std::nullopt;
    }
    if (options.deadlineCheckEnabled && cannotFinish(operations[operation], call.deadline, expectedWait(rank, operation))) {
        return refusal(RefusalReason::DeadlineTooShort);
    }
    return std::nullopt;
}

bool AdmissionController::Private::cannotFinish(const OperationProfile &operation, TimePoint deadline, double wait) const
{
    const TimePoint now = clock.now();
    const bool known = now - operation.lastSample < HoldingMemory || operation.running > 0;
    const double needed = wait + (known ? options.lateMargin * operation.holdingTime * holding.slower(now) : 0.0);
    return now + fromSeconds(needed) > deadline;
}

double AdmissionController::Private::expectedWait(CallRank rank, std::size_t operation) const
{
    const double rate = capacity();
    if (hasFreeSlot() || rate <= 0.0) {
        // Calls that are held back for isolation wait for calls of their own operation.
        const OperationProfile &profile = operations[operation];
        const bool isBlocked = operation < blocked.size() && blocked[operation];
        const auto waiting = static_cast<double>(queue.countOfOperation(operation));
        return isBlocked && profile.running > 0 ? waiting * profile.holdingTime / static_cast<double>(profile.running) : 0.0;
    }
    return static_cast<double>(queue.countFrom(std::min(rank, CallRank::Internal))) / rate;
}

double AdmissionController::Private::capacity() const
{
    return holding.finished() > 0.0 ? limit.limit() / holding.current(clock.now()) : 0.0;
}

bool AdmissionController::Private::hasFreeSlot() const
{
    return running.size() < limit.limit();
}

bool AdmissionController::Private::isIdle() const
{
    return queue.size() == 0 && 2 * running.size() <= limit.limit();
}

void AdmissionController::Private::start(CallId id, std::size_t operation)
{
    running.emplace(id, RunningCall{.operation = operation, .started = clock.now()});
    holding.started(clock.now());
    ++operations[operation].running;
    isolation.started(operations[operation]);
    refreshBlocked();
}

void AdmissionController::Private::enqueue(const CallDescription &call, std::size_t operation)
{
    queue.push({.id = call.id,
                .rank = options.priorityEnabled ? rankOf(call) : CallRank::Read,
                .tenant = tenantIndexes.indexOf(call.tenant),
                .operation = operation,
                .callerHash = call.callerHash,
                .internal = call.internal,
                .deadline = call.deadline});
}

void AdmissionController::Private::makeRoom(CallRank rank)
{
    // A critical call that finds the queue too long puts out all reads; others put out one call of a lower rank.
    do {
        const std::optional<WaitingCall> lowest = queue.takeLowestBelow(rank == CallRank::Critical ? CallRank::Internal : rank);
        if (!lowest) {
            return;
        }
        refuseWaiting(lowest->id, RefusalReason::Overloaded);
    } while (rank == CallRank::Critical);
}

void AdmissionController::Private::refuseWaiting(CallId id, RefusalReason reason)
{
    pending.push_back({.id = id, .verdict = AdmissionVerdict::Refused, .refusal = refusal(reason)});
}

void AdmissionController::Private::refuseLate()
{
    if (!options.deadlineCheckEnabled) {
        return;
    }
    // A call with less time left than calls take now would most likely fail further below, after work was spent on it.
    const TimePoint latest = clock.now() + fromSeconds(options.lateMargin * holding.current(clock.now()));
    const auto mayRefuse = [this](const WaitingCall &call) {
        return !(call.internal && options.internalWaitEnabled) && (call.rank != CallRank::Critical || level.refusesCritical());
    };
    while (const std::optional<WaitingCall> late = queue.takeExpired(latest, mayRefuse)) {
        refuseWaiting(late->id, RefusalReason::DeadlineTooShort);
    }
}

void AdmissionController::Private::refreshBlocked()
{
    isolation.markBlocked(operations, limit.limit(), clock.now(), blocked);
}

void AdmissionController::Private::updateLevel()
{
    level.update(static_cast<double>(queue.size()), static_cast<double>(queue.countFrom(CallRank::Critical)), capacity(), isIdle());
}

Refusal AdmissionController::Private::refusal(RefusalReason reason) const
{
    const double rate = capacity();
    const Duration drained = rate > 0.0 ? fromSeconds(static_cast<double>(queue.size()) / rate) : Duration(0);
    return {.kind = RefusalKind::NotRun, .reason = reason, .retryAfter = std::max(ShortestRetryAfter, drained)};
}

} // namespace wisteriafork
