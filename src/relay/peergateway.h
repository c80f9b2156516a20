#pragma once

#include "net/peeroptions.h"
#include "net/peersender.h"
#include "relay/attemptoutcome.h"
#include "relay/changestext.h"
#include "relay/relayparts.h"
#include "relay/relayrequest.h"
#include "relay/withdrawal.h"

#include <memory>
#include <optional>
#include <string>

namespace wisteriafork {

// Sends requests to the nodes beside other instances.
class PeerGateway
{
public:
    // Both must outlive the object.
    PeerGateway(RelayParts &parts, PeerSender &peers);

    // Sends a request to the node at `address`. The handler is called exactly once, never before this function returns, unless the
    // returned exchange is cancelled.
    std::shared_ptr<ClientExchange> send(const std::string &address, const RelayRequest &request, AttemptHandler handler);
    // Fetches the published state as the node at `address` knows it. The handler gets an empty optional if the node does not provide it.
    void fetchSnapshot(const std::string &address, std::function<void(std::optional<std::string>)> handler);
    // Asks the node at `address` for published changes. The handler is called once, with nothing if there is no answer.
    void requestChanges(const std::string &address, ChangesText request, std::function<void(std::optional<ChangesText>)> handler);
    // Asks the node at `address` for tokens of workspaces. The handler is called once, with nothing if there is no answer.
    void askForQuota(const std::string &address, std::string request, std::function<void(std::optional<std::string>)> handler);
    // Asks the node at `address` which suspects it knows. The handler is called once, with nothing if there is no answer.
    void askForSuspects(const std::string &address, std::string question, std::function<void(std::optional<std::string>)> handler);
    // Withdraws the requests that this node has sent to the node at `address` and that have not started there. The answers to them say
    // whether they were withdrawn; an error of this message is ignored, because it is repeated.
    void withdrawRequests(const std::string &address, const Withdrawal &withdrawal);
    // Sends reports on requests that are suspected of crashing backend servers to a node. Errors are ignored, because the node that
    // found a suspect repeats its reports.
    void sendSuspects(const std::string &address, const std::string &encodedSuspects);

private:
    // Sends a question. The handler gets the body of the answer, or nothing if there is none.
    void ask(const std::string &address, const char *path, std::string body, std::function<void(std::optional<std::string>)> handler);
    // Sends a message whose response says nothing.
    void notify(const std::string &address, const char *path, std::string body);

    RelayParts &m_parts;
    PeerSender &m_peers;
};

// Path at which nodes serve the published state as they know it.
constexpr const char *SnapshotPath = "/published";
// Path at which nodes ask each other for published changes.
constexpr const char *ChangesPath = "/changes";
// Path at which nodes ask each other for tokens of workspaces with a quota.
constexpr const char *QuotaPath = "/quota";
// Path at which nodes withdraw requests that have not started.
constexpr const char *WithdrawPath = "/withdraw";
// Path at which nodes receive reports on requests that are suspected of crashing backend servers.
constexpr const char *SuspectsPath = "/suspects";

// Path at which nodes ask each other for the suspects that they know.
constexpr const char *SuspectQuestionPath = "/suspects/ask";

// Options of the HTTP/2 sessions between relays.
PeerOptions relayPeerOptions(const RelaySettings &settings);

} // namespace wisteriafork
