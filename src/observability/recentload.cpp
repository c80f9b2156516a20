#include "observability/recentload.h"

#include "observability/secondscounter.h"

#include <map>
#include <mutex>
#include <utility>

namespace wisteriafork {

namespace {

constexpr std::size_t MaximumOperations = 4096;
// Weight of a new call in the mean service time.
constexpr double TimeWeight = 0.05;

struct Entry
{
    SecondsCounter arrivals;
    // In nanoseconds; zero if unknown.
    double serviceTime = 0;
};

} // namespace

class RecentLoad::Private
{
public:
    explicit Private(const Clock &source) : clock(source), begin(source.now())
    {
    }

    std::int64_t second() const
    {
        return std::chrono::duration_cast<std::chrono::seconds>(clock.now() - begin).count();
    }

    // Null if the bound on operations is reached. The lock must be held.
    Entry *find(const ServiceId &service, const OperationId &operation)
    {
        const auto key = std::make_pair(service, operation);
        if (!entries.contains(key) && entries.size() >= MaximumOperations) {
            return nullptr;
        }
        return &entries[key];
    }

    const Clock &clock;
    const TimePoint begin;
    mutable std::mutex mutex;
    std::map<std::pair<ServiceId, OperationId>, Entry> entries;
};

RecentLoad::RecentLoad(const Clock &clock) : m_d(std::make_unique<Private>(clock))
{
}

RecentLoad::~RecentLoad() = default;

void RecentLoad::recordArrival(const ServiceId &service, const OperationId &operation)
{
    const std::lock_guard lock(m_d->mutex);
    if (Entry *entry = m_d->find(service, operation)) {
        entry->arrivals.add(m_d->second());
    }
}

void RecentLoad::recordServiceTime(const ServiceId &service, const OperationId &operation, Duration serviceTime)
{
    const std::lock_guard lock(m_d->mutex);
    if (Entry *entry = m_d->find(service, operation)) {
        const auto time = static_cast<double>(serviceTime.count());
        entry->serviceTime = entry->serviceTime == 0 ? time : entry->serviceTime + TimeWeight * (time - entry->serviceTime);
    }
}

std::vector<OperationLoad> RecentLoad::operationLoads() const
{
    const std::lock_guard lock(m_d->mutex);
    std::vector<OperationLoad> loads;
    for (const auto &[key, entry] : m_d->entries) {
        loads.push_back({.service = key.first,
                         .operation = key.second,
                         .callsPerSecond = entry.arrivals.perSecond(m_d->second(), 0),
                         .meanServiceTime = Duration(static_cast<Duration::rep>(entry.serviceTime))});
    }
    return loads;
}

} // namespace wisteriafork
