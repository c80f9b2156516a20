#include "relay/readinesshandler.h"

namespace wisteriafork {

ReadinessHandler::ReadinessHandler(std::function<bool()> isReady, std::function<std::string()> metricsText)
    : m_isReady(std::move(isReady)), m_metrics(std::move(metricsText))
{
}

void ReadinessHandler::handleRequest(std::shared_ptr<ServerExchange> exchange)
{
    exchange->respond({.status = m_isReady() ? 200U : 503U});
}

void ReadinessHandler::handleCancellation(ServerExchange &)
{
}

ReadinessHandler::MetricsHandler::MetricsHandler(std::function<std::string()> metricsText) : m_text(std::move(metricsText))
{
}

void ReadinessHandler::MetricsHandler::handleRequest(std::shared_ptr<ServerExchange> exchange)
{
    HttpResponse response{.status = 200};
    response.headers.add("content-type", "text/plain; version=0.0.4");
    response.body = m_text();
    exchange->respond(std::move(response));
}

void ReadinessHandler::MetricsHandler::handleCancellation(ServerExchange &)
{
}

} // namespace wisteriafork
