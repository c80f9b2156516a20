#include "daemon/administration.h"

#include "net/endpoint.h"

namespace wisteriafork {

Administration::Administration(const Settings &settings, Relay &relay, const PublishedFiles &files, const CallStatistics &statistics)
    : m_settings(settings), m_relay(relay), m_files(files), m_statistics(statistics)
{
}

NodeStatus Administration::status() const
{
    const std::size_t openRequests = m_relay.node().openRequestCount();
    return {.name = m_settings.relay.node,
            .service = m_settings.relay.service,
            .domain = m_settings.relay.domain,
            .peerAddress = endpointText(m_settings.relay.peerEndpoint),
            .programVersion = WISTERIAFORK_VERSION,
            .uptime = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - m_startTime),
            .draining = m_relay.isDraining(),
            .drained = m_relay.isDraining() && openRequests == 0,
            .requestsInFlight = openRequests,
            .configurationVersion = m_relay.node().configurationVersion()};
}

OutcomesReport Administration::outcomes() const
{
    return m_statistics.outcomes();
}

std::vector<Instance> Administration::instances() const
{
    return m_relay.node().instances();
}

std::optional<Configuration> Administration::configuration() const
{
    return m_files.configuration();
}

std::vector<OperationLoad> Administration::recentLoad() const
{
    return m_statistics.recentLoad();
}

std::string Administration::metricsText() const
{
    return m_relay.node().metricsText();
}

void Administration::drain()
{
    m_relay.setDraining(true);
}

void Administration::undrain()
{
    m_relay.setDraining(false);
}

} // namespace wisteriafork
