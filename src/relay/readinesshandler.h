#pragma once

#include "net/serverexchange.h"

#include <functional>
#include <string>

namespace wisteriafork {

// Answers readiness checks on any path: 200 while the node accepts new requests of callers, else 503. `metrics` returns the handler of the
// metrics listener, which answers every path with the text of `metricsText`.
class ReadinessHandler : public ServerHandler
{
public:
    ReadinessHandler(std::function<bool()> isReady, std::function<std::string()> metricsText);

    ServerHandler &metrics()
    {
        return m_metrics;
    }

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
    void handleCancellation(ServerExchange &exchange) override;

private:
    class MetricsHandler : public ServerHandler
    {
    public:
        explicit MetricsHandler(std::function<std::string()> metricsText);

        void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
        void handleCancellation(ServerExchange &exchange) override;

    private:
        const std::function<std::string()> m_text;
    };

    const std::function<bool()> m_isReady;
    MetricsHandler m_metrics;
};

} // namespace wisteriafork
