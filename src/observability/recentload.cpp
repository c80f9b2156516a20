#include "observability/recentload.h"

#include "observability/ratecounter.h"

#include <map>
#include <mutex>
#include <utility>

namespace wisteriafork {

namespace {

constexpr std::size_t MaximumOperations = 4096;
// Weight of a new call in the exponentially weighted mean service time.
constexpr double ServiceTimeSampleWeight = 0.05;

struct OperationCounters
{
    RateCounter arrivals;
    // Zero until the first call ran on the backend server.
    double meanServiceNanoseconds = 0;
};

} // namespace

class RecentLoad::Impl
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

    // Counters of the operation; null if it is new and the limit on operations is reached. The lock must be held.
    OperationCounters *countersFor(const ServiceId &service, const OperationId &operation)
    {
        const auto key = std::make_pair(service, operation);
        if (!operations.contains(key) && operations.size() >= MaximumOperations) {
            return nullptr;
        }
        return &operations[key];
    }

    const Clock &clock;
    const TimePoint beginTime;
    mutable std::mutex mutex;
    std::map<std::pair<ServiceId, OperationId>, OperationCounters> operations;
};

RecentLoad::RecentLoad(const Clock &clock) : m_impl(std::make_unique<Impl>(clock))
{
}

RecentLoad::~RecentLoad() = default;

void RecentLoad::recordArrival(const ServiceId &service, const OperationId &operation)
{
    const std::lock_guard lock(m_impl->mutex);
    if (OperationCounters *counters = m_impl->countersFor(service, operation)) {
        counters->arrivals.add(m_impl->currentSecond());
    }
}

void RecentLoad::recordServiceTime(const ServiceId &service, const OperationId &operation, Duration serviceTime)
{
    const std::lock_guard lock(m_impl->mutex);
    if (OperationCounters *counters = m_impl->countersFor(service, operation)) {
        const auto nanoseconds = static_cast<double>(serviceTime.count());
        counters->meanServiceNanoseconds = counters->meanServiceNanoseconds == 0
            ? nanoseconds
            : counters->meanServiceNanoseconds + ServiceTimeSampleWeight * (nanoseconds - counters->meanServiceNanoseconds);
    }
}

std::vector<OperationLoad> RecentLoad::operationLoads() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::vector<OperationLoad> loads;
    for (const auto &[key, counters] : m_impl->operations) {
        loads.push_back({.service = key.first,
                         .operation = key.second,
                         .callsPerSecond = counters.arrivals.meanPerSecond(m_impl->currentSecond(), 0),
                         .meanServiceTime = Duration(static_cast<Duration::rep>(counters.meanServiceNanoseconds))});
    }
    return loads;
}

} // namespace wisteriafork
