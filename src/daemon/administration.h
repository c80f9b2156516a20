#pragma once

#include "admin/administrationsource.h"
#include "daemon/nodeshell.h"

#include <functional>

namespace wisteriafork {

// What the administration API shows of the running node. Thread safe.
class Administration : public AdministrationSource
{
public:
    // `startDrain` and `endDrain` are called on the thread of the request.
    Administration(const Settings &settings, NodeShell &shell, std::function<void()> startDrain, std::function<void()> endDrain);

    NodeStatus status() const override;
    OutcomesReport outcomes() const override;
    std::vector<MemberStatus> members() const override;
    std::optional<Configuration> configuration() const override;
    std::vector<OperationLoad> recentLoad() const override;
    std::string metricsText() const override;
    void drain() override;
    void undrain() override;

private:
    const Settings &m_settings;
    NodeShell &m_shell;
    std::function<void()> m_startDrain;
    std::function<void()> m_endDrain;
    std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
};

} // namespace wisteriafork
