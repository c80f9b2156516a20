#include "observability/outcomes.h"

#include "observability/overloadtracker.h"
#include "observability/secondscounter.h"

#include <map>
#include <mutex>

namespace wisteriafork {

namespace {

constexpr std::size_t MaximumKeys = 4096;

bool isForLoad(RefusalReason reason)
{
    return reason == RefusalReason::Overloaded || reason == RefusalReason::DeadlineTooShort;
}

struct Counters
{
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::map<RefusalReason, std::uint64_t> refusals;
    Duration totalTime{0};
    SecondsCounter goodput;
    SecondsCounter offered;
};

} // namespace

class Outcomes::Private
{
public:
    explicit Private(const Clock &source) : clock(source), begin(source.now())
    {
    }

    std::int64_t second() const
    {
        return std::chrono::duration_cast<std::chrono::seconds>(clock.now() - begin).count();
    }

    // The lock must be held.
    Counters &counters(const OutcomeKey &key)
    {
        const auto found = rows.find(key);
        if (found != rows.end()) {
            return found->second;
        }
        if (rows.size() >= MaximumKeys) {
            return rows[{.service = key.service, .callClass = key.callClass, .workspace = WorkspaceId("_other")}];
        }
        return rows[key];
    }

    const Clock &clock;
    const TimePoint begin;
    mutable std::mutex mutex;
    std::map<OutcomeKey, Counters> rows;
    std::map<ServiceId, OverloadTracker> overloads;
};

Outcomes::Outcomes(const Clock &clock) : m_d(std::make_unique<Private>(clock))
{
}

Outcomes::~Outcomes() = default;

void Outcomes::recordCompletion(const OutcomeKey &key, Duration time)
{
    const std::lock_guard lock(m_d->mutex);
    const std::int64_t second = m_d->second();
    Counters &counters = m_d->counters(key);
    ++counters.completed;
    counters.totalTime += time;
    counters.goodput.add(second);
    counters.offered.add(second);
    m_d->overloads[key.service].completed(second, time);
}

void Outcomes::recordRefusal(const OutcomeKey &key, RefusalReason reason)
{
    const std::lock_guard lock(m_d->mutex);
    const std::int64_t second = m_d->second();
    Counters &counters = m_d->counters(key);
    ++counters.refusals[reason];
    counters.offered.add(second);
    if (isForLoad(reason)) {
        m_d->overloads[key.service].refusedForLoad(second);
    } else {
        m_d->overloads[key.service].endedOtherwise(second);
    }
}

void Outcomes::recordFailure(const OutcomeKey &key)
{
    const std::lock_guard lock(m_d->mutex);
    const std::int64_t second = m_d->second();
    Counters &counters = m_d->counters(key);
    ++counters.failed;
    counters.offered.add(second);
    m_d->overloads[key.service].endedOtherwise(second);
}

OutcomesReport Outcomes::report() const
{
    const std::lock_guard lock(m_d->mutex);
    const std::int64_t second = m_d->second();
    OutcomesReport report;
    report.covered = m_d->clock.now() - m_d->begin;
    for (const auto &[key, counters] : m_d->rows) {
        report.rows.push_back({.key = key,
                               .completed = counters.completed,
                               .failed = counters.failed,
                               .refusals = counters.refusals,
                               .goodputPerSecond = counters.goodput.perSecond(second, 0),
                               .offeredPerSecond = counters.offered.perSecond(second, 0),
                               .meanTime = counters.completed == 0
                                   ? Duration(0)
                                   : Duration(counters.totalTime.count() / static_cast<std::int64_t>(counters.completed))});
    }
    for (const auto &[service, tracker] : m_d->overloads) {
        if (const auto record = tracker.record(second)) {
            report.lastOverloads.emplace(service, *record);
        }
    }
    return report;
}

} // namespace wisteriafork
