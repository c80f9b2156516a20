#pragma once

#include "net/serverexchange.h"
#include "relay/attemptsender.h"
#include "relay/relaycall.h"
#include "relay/relayparts.h"

#include <memory>
#include <unordered_map>

namespace wisteriafork {

// Accepts the requests of callers and of the local backend server, and keeps one `RelayCall` for each until it has its response.
class CallerHandler : public ServerHandler
{
public:
    CallerHandler(RelayParts &parts, AttemptSender &sender);
    // Cancels the calls that are still open; they get no response.
    ~CallerHandler() override;
    CallerHandler(const CallerHandler &) = delete;
    CallerHandler &operator=(const CallerHandler &) = delete;

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
    void handleCancellation(ServerExchange &exchange) override;
    // Handles the timers of the open calls that are due (time-outs, hedged requests, waits for an instance) and drops finished calls.
    // Call every 20 ms.
    void pollCalls();
    // The process ends soon: refuses the calls that may last beyond its end and that wait without having been sent. Returns their number.
    std::size_t refuseUnsentCalls();
    // Addresses of the other nodes to which open calls that may last beyond the end of the process were sent.
    std::set<std::string> peersOfLateCalls() const;
    // The process ends now: responds to each open call, with what is known of its execution. Returns their number.
    std::size_t answerOpenCalls();

    bool isIdle() const
    {
        return m_calls.empty();
    }

    std::size_t openCallCount() const
    {
        return m_calls.size();
    }

private:
    // Id for a request that arrived without one. It is unique in the fleet because node names are.
    std::string newRequestId(std::uint64_t tag) const;

    RelayParts &m_parts;
    AttemptSender &m_sender;
    std::unordered_map<std::uint64_t, std::shared_ptr<RelayCall>> m_calls;
    std::uint64_t m_lastTag = 0;
};

} // namespace wisteriafork
