#include "relay/callerhandler.h"

#include <algorithm>

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

std::size_t CallerHandler::refuseUnsentCalls()
{
    return static_cast<std::size_t>(std::ranges::count_if(m_calls, [](const auto &entry) { return entry.second->refuseIfUnsent(); }));
}

std::set<std::string> CallerHandler::peersOfLateCalls() const
{
    std::set<std::string> addresses;
    for (const auto &[tag, call] : m_calls) {
        call->addPeersIfLate(addresses);
    }
    addresses.erase(m_parts.ownPeerAddress);
    return addresses;
}

std::size_t CallerHandler::answerOpenCalls()
{
    return static_cast<std::size_t>(std::ranges::count_if(m_calls, [](const auto &entry) { return entry.second->answerNow(); }));
}

void CallerHandler::pollCalls()
{
    std::erase_if(m_calls, [](const auto &entry) {
        entry.second->handleDueTimers();
        return entry.second->isFinished();
    });
}

} // namespace wisteriafork
