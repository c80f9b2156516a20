#pragma once

#include "admin/administrationsource.h"
#include "daemon/callstatistics.h"
#include "daemon/publishedfiles.h"
#include "daemon/settings.h"
#include "relay/relay.h"

#include <chrono>

namespace wisteriafork {

// Gives the administration API access to the state of the running node, and starts and ends its drain. Not thread safe: the API must run
// on the thread of the relay.
class Administration : public AdministrationSource
{
public:
    // All arguments must outlive the object.
    Administration(const Settings &settings, Relay &relay, const PublishedFiles &files, const CallStatistics &statistics);

    NodeStatus status() const override;
    OutcomesReport outcomes() const override;
    std::vector<Instance> instances() const override;
    std::optional<Configuration> configuration() const override;
    std::vector<OperationLoad> recentLoad() const override;
    std::string metricsText() const override;
    void drain() override;
    void undrain() override;

private:
    const Settings &m_settings;
    Relay &m_relay;
    const PublishedFiles &m_files;
    const CallStatistics &m_statistics;
    const std::chrono::steady_clock::time_point m_startTime = std::chrono::steady_clock::now();
};

} // namespace wisteriafork
