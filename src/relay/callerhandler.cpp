#include "relay/callerhandler.h"

#include <vector>

namespace wisteriafork {

CallerHandler::CallerHandler(RelayParts &parts, AttemptSender &sender) : m_parts(parts), m_sender(sender)
{
}

CallerHandler::~CallerHandler()
{
    for (const auto &[tag, call] : m_calls) {
        call->onCallerGone();
    }
}

void CallerHandler::handleRequest(std::shared_ptr<ServerExchange> exchange)
{
    exchange->tag = ++m_lastTag;
    const std::uint64_t tag = exchange->tag;
    const std::string &idField = m_parts.settings.headers.requestId;
    if (exchange->request->headers.find(idField).empty()) {
        exchange->request->headers.remove(idField);
        exchange->request->headers.add(idField, newRequestId(tag));
    }
    auto call = std::make_shared<RelayCall>(m_parts, m_sender, std::move(exchange));
    call->start();
    if (!call->isFinished()) {
        m_calls.emplace(tag, std::move(call));
    }
}

std::string CallerHandler::newRequestId(std::uint64_t tag) const
{
    return m_parts.settings.node + "-" + std::to_string(m_parts.settings.incarnation) + "-" + std::to_string(tag);
}

void CallerHandler::handleCancellation(ServerExchange &exchange)
{
    const auto found = m_calls.find(exchange.tag);
    if (found != m_calls.end()) {
        found->second->onCallerGone();
        m_calls.erase(found);
    }
}

void CallerHandler::pollCalls()
{
    std::erase_if(m_calls, [](const auto &entry) {
        entry.second->handleDueTimers();
        return entry.second->isFinished();
    });
}

} // namespace wisteriafork
