#pragma once

#include "core/crashguard/suspectexchange.h"
#include "relay/peergateway.h"
#include "relay/relayparts.h"

#include <cstdint>
#include <optional>
#include <string>

namespace wisteriafork {

// Passes what this node knows of requests that crash backend servers to the other nodes: reports to all of them when something changes, and
// questions to one at a time, so that a node also learns what it has missed.
class SuspectGateway
{
public:
    // Both must outlive the object.
    SuspectGateway(RelayParts &parts, PeerGateway &peers);

    // Sends the reports and the question that are due. Call every 100 ms.
    void tick();
    // Takes over the reports of another node. False if they are malformed.
    bool receive(const std::string &encodedReports);
    // Answers the question of another node; empty if it is malformed.
    std::string answer(const std::string &encodedQuestion) const;

private:
    void sendReports();
    void askIfDue();
    void onAnswer(const std::string &address, const std::optional<std::string> &encodedAnswer);
    void logChanges();

    RelayParts &m_parts;
    PeerGateway &m_peers;
    SuspectExchange m_exchange;
    // Number of the last question. Answers to earlier ones are ignored.
    std::uint64_t m_lastQuestion = 0;
};

} // namespace wisteriafork
