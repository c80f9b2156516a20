#include "observability/outcomes.h"

#include "observability/overloadtracker.h"
#include "observability/ratecounter.h"

#include <map>
#include <mutex>

namespace wisteriafork {

namespace {

constexpr std::size_t MaximumOutcomeKeys = 4096;

bool isRefusalForLoad(RefusalReason reason)
{
    return reason == RefusalReason::Overloaded || reason == RefusalReason::DeadlineTooShort;
}

struct Counters
{
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::map<RefusalReason, std::uint64_t> refusals;
    Duration totalCompletionTime{0};
    RateCounter goodput;
    RateCounter offered;
};

} // namespace

class Outcomes::Impl
{
public:
    explicit Impl(const Clock &source) : clock(source), beginTime(source.now())
    {
    }

    // Whole seconds since counting began.
    std::int64_t currentSecond() const
    {
        return std::chrono::duration_cast<std::chrono::seconds>(clock.now() - beginTime).count();
    }

    // Counters of the key, or of the workspace "_other" if the limit on keys is reached. The lock must be held.
    Counters &countersFor(const OutcomeKey &key)
    {
        const auto found = rows.find(key);
        if (found != rows.end()) {
            return found->second;
        }
        if (rows.size() >= MaximumOutcomeKeys) {
            return rows[{.service = key.service, .callClass = key.callClass, .workspace = WorkspaceId("_other")}];
        }
        return rows[key];
    }

    const Clock &clock;
    const TimePoint beginTime;
    mutable std::mutex mutex;
    std::map<OutcomeKey, Counters> rows;
    std::map<ServiceId, OverloadTracker> overloadTrackers;
};

Outcomes::Outcomes(const Clock &clock) : m_impl(std::make_unique<Impl>(clock))
{
}

Outcomes::~Outcomes() = default;

void Outcomes::recordCompletion(const OutcomeKey &key, Duration time)
{
    const std::lock_guard lock(m_impl->mutex);
    const std::int64_t second = m_impl->currentSecond();
    Counters &counters = m_impl->countersFor(key);
    ++counters.completed;
    counters.totalCompletionTime += time;
    counters.goodput.add(second);
    counters.offered.add(second);
    m_impl->overloadTrackers[key.service].recordCompletion(second, time);
}

void Outcomes::recordRefusal(const OutcomeKey &key, RefusalReason reason)
{
    const std::lock_guard lock(m_impl->mutex);
    const std::int64_t second = m_impl->currentSecond();
    Counters &counters = m_impl->countersFor(key);
    ++counters.refusals[reason];
    counters.offered.add(second);
    if (isRefusalForLoad(reason)) {
        m_impl->overloadTrackers[key.service].recordLoadRefusal(second);
    } else {
        m_impl->overloadTrackers[key.service].recordOtherOutcome(second);
    }
}

void Outcomes::recordFailure(const OutcomeKey &key)
{
    const std::lock_guard lock(m_impl->mutex);
    const std::int64_t second = m_impl->currentSecond();
    Counters &counters = m_impl->countersFor(key);
    ++counters.failed;
    counters.offered.add(second);
    m_impl->overloadTrackers[key.service].recordOtherOutcome(second);
}

OutcomesReport Outcomes::report() const
{
    const std::lock_guard lock(m_impl->mutex);
    const std::int64_t second = m_impl->currentSecond();
    OutcomesReport report;
    report.coveredTime = m_impl->clock.now() - m_impl->beginTime;
    for (const auto &[key, counters] : m_impl->rows) {
        report.rows.push_back({.key = key,
                               .completed = counters.completed,
                               .failed = counters.failed,
                               .refusals = counters.refusals,
                               .goodputPerSecond = counters.goodput.meanPerSecond(second, 0),
                               .offeredPerSecond = counters.offered.meanPerSecond(second, 0),
                               .meanTime = counters.completed == 0
                                   ? Duration(0)
                                   : Duration(counters.totalCompletionTime.count() / static_cast<std::int64_t>(counters.completed))});
    }
    for (const auto &[service, tracker] : m_impl->overloadTrackers) {
        if (const auto overload = tracker.lastOverload(second)) {
            report.lastOverloads.emplace(service, *overload);
        }
    }
    return report;
}

} // namespace wisteriafork
