#pragma once

#include "core/admission/verdict.h"
#include "core/quota/lenderranking.h"
#include "core/quota/quotabounds.h"
#include "core/quota/quotamessages.h"
#include "core/quota/windowallowance.h"
#include "core/workspace/workspacetable.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

struct QuotaBorrowerOptions
{
    // Time for an answer of the lender or the standby. Two round trips between the most distant failure domains, and as much for a busy
    // node.
    Duration askTimeout = std::chrono::milliseconds(120);
    // Time for which a lender that did not answer is not asked.
    Duration unreachablePause = std::chrono::milliseconds(1000);
    // Longest time for which requests are refused without asking after the lender had no token.
    Duration maxRefusalTime = std::chrono::milliseconds(100);
    // Time in which the weight of earlier requests in the rate of a workspace decays by a factor of e.
    Duration rateDecayTime = std::chrono::seconds(2);
};

// Decides at the entry whether a request of a workspace with a quota may run. It uses tokens that it has borrowed, and asks the lender of
// the workspace for more; the request waits for one round trip. If the lender does not answer, the standby is asked, and without it the
// node admits its small part of the slack by itself. Not thread safe.
class QuotaBorrower
{
public:
    using ResponseHandler = std::function<void(std::optional<QuotaResponse>)>;
    // Sends a question to the node at the address. The handler is called at most once, never before the function returns, with nothing if
    // there is no answer.
    using Sender = std::function<void(const std::string &address, const QuotaRequest &request, ResponseHandler handler)>;
    using Resume = std::function<void(Verdict)>;

    QuotaBorrower(const QuotaBounds &bounds, const QuotaBorrowerOptions &options, std::string ownAddress, const Clock &clock,
                  LenderRanking &ranking, Sender send);

    // Decides on a request. If the verdict is `Pending`, `resume` is called once with the final one, never before this function returns.
    Verdict admit(const Workspace &workspace, Resume resume);
    // Gives the token of an admitted request back that was refused for another reason.
    void giveBack(const std::string &workspace);
    // Handles questions without an answer. Call every 20 ms.
    void tick();

private:
    struct Tokens
    {
        unsigned count = 0;
        TimePoint expiry;
    };

    struct Account
    {
        // Tokens in the order of their expiry.
        std::deque<Tokens> tokens;
        std::vector<Resume> waiting;
        bool isAsking = false;
        bool asksStandby = false;
        TimePoint askedAt;
        // Number of the current question. Answers to earlier ones are ignored.
        std::uint64_t askNumber = 0;
        TimePoint refusedUntil{};
        TimePoint nextRoom{};
        // Requests within the last seconds, as a moving sum.
        double recentRequests = 0.0;
        TimePoint lastRequest{};
        std::optional<QuotaSplit> split;
        // Requests that the node may admit by itself.
        std::optional<WindowAllowance> localAllowance;
    };

    bool takeToken(Account &account);
    // Asks the lender or the standby.
    void ask(const std::string &workspace, Account &account, bool standby);
    void onAnswer(const std::string &workspace, std::uint64_t askNumber, const std::optional<QuotaResponse> &response);
    // Asks the next one, or decides with what the node may admit by itself.
    void onAskFailed(const std::string &workspace, Account &account);
    // Calls the waiting requests: those for which there is a token are admitted, the others are refused.
    void decideWaiting(Account &account, bool mayAdmitLocally);
    Verdict refusal(const Account &account) const;
    std::uint32_t tokensWanted(const Account &account) const;
    bool isPaused(const std::string &address) const;

    const QuotaBounds m_bounds;
    const QuotaBorrowerOptions m_options;
    const std::string m_ownAddress;
    const Clock &m_clock;
    const TimePoint m_startTime;
    LenderRanking &m_ranking;
    const Sender m_send;
    std::unordered_map<std::string, Account> m_accounts;
    // Nodes that did not answer, with the time until which they are not asked.
    std::unordered_map<std::string, TimePoint> m_pausedUntil;
    std::uint64_t m_lastAskNumber = 0;
};

} // namespace wisteriafork
