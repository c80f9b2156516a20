#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <memory>
#include <vector>

namespace wisteriafork {

// Load of one operation, measured by this node.
struct OperationLoad
{
    ServiceId service;
    OperationId operation;
    // Calls that arrived, over the last 60 s or the time since the start if that is shorter.
    double callsPerSecond = 0;
    // Exponentially weighted mean of the time that the local backend server took for successful calls; zero if there were none.
    Duration meanServiceTime{0};
};

// Measures the recent load of each operation, for the dry run of a questionnaire. Holds at most 4096 operations; calls of further ones are
// not counted. Thread safe by its own lock, number 4 of the lock order.
class RecentLoad
{
public:
    // The clock must outlive the object.
    explicit RecentLoad(const Clock &clock);
    ~RecentLoad();
    RecentLoad(const RecentLoad &) = delete;
    RecentLoad &operator=(const RecentLoad &) = delete;

    // Records a call that arrived at this node, whether it is admitted or not.
    void recordArrival(const ServiceId &service, const OperationId &operation);

    // Records the time that the local backend server took for a successful call.
    void recordServiceTime(const ServiceId &service, const OperationId &operation, Duration serviceTime);

    // Ordered by service and operation.
    std::vector<OperationLoad> operationLoads() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wisteriafork
