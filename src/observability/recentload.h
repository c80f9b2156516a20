#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"

#include <memory>
#include <vector>

namespace wisteriafork {

// Load of one operation over the last minute, as seen by one node.
struct OperationLoad
{
    ServiceId service;
    OperationId operation;
    double callsPerSecond = 0;
    // Mean time in the local backend server; zero if none of the calls ran there.
    Duration meanServiceTime{0};
};

// Keeps the recent load by operation, for the dry run of a questionnaire. Thread safe by its own lock, number 4 of the lock order. Keeps at
// most 4096 operations; calls of further ones are not counted.
class RecentLoad
{
public:
    // The clock must outlive the object.
    explicit RecentLoad(const Clock &clock);
    ~RecentLoad();
    RecentLoad(const RecentLoad &) = delete;
    RecentLoad &operator=(const RecentLoad &) = delete;

    // A call arrived at this node, whether it is admitted or not.
    void recordArrival(const ServiceId &service, const OperationId &operation);

    // A call ran on the local backend server.
    void recordServiceTime(const ServiceId &service, const OperationId &operation, Duration serviceTime);

    std::vector<OperationLoad> operationLoads() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace wisteriafork
