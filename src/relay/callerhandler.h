#pragma once

#include "net/serverexchange.h"
#include "relay/attemptsender.h"
#include "relay/relaycall.h"
#include "relay/relayparts.h"

#include <memory>
#include <unordered_map>

namespace wisteriafork {

// Takes the requests of callers and of the local backend server.
class CallerHandler : public ServerHandler
{
public:
    CallerHandler(RelayParts &parts, AttemptSender &sender);
    // Gives up the calls that are still open.
    ~CallerHandler() override;
    CallerHandler(const CallerHandler &) = delete;
    CallerHandler &operator=(const CallerHandler &) = delete;

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
    void handleCancellation(ServerExchange &exchange) override;
    // Does what has become due for the open calls, and forgets finished ones. Called every few milliseconds.
    void pollCalls();

    bool isIdle() const
    {
        return m_calls.empty();
    }

    std::size_t openCallCount() const
    {
        return m_calls.size();
    }

private:
    // Id for a request whose sender gave none. Unique in the fleet as node names are.
    std::string newRequestId(std::uint64_t tag) const;

    RelayParts &m_parts;
    AttemptSender &m_sender;
    std::unordered_map<std::uint64_t, std::shared_ptr<RelayCall>> m_calls;
    std::uint64_t m_lastTag = 0;
};

} // namespace wisteriafork
