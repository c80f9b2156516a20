#pragma once

#include "core/base/clock.h"
#include "core/ownership/claimmessages.h"
#include "core/ownership/joinmessages.h"
#include "core/ownership/ownershipoptions.h"
#include "core/ownership/resendtimer.h"

#include <chrono>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wisteriafork {

// Sends the claims of an owner to one of its witnesses, nearest first, and to the other one when the first does not answer. A claim goes
// out at once if no claim message to the witness is unanswered; otherwise it waits for the answer or the end of the batch window, and all
// that wait share a message.
class ClaimSender
{
public:
    struct Acknowledged
    {
        RequestKey key;
        // When the claim was first sent under this term.
        TimePoint sentAt;
    };

    explicit ClaimSender(const OwnershipOptions &options);

    // Uses the witnesses of this term from now on, also for claims that are outstanding.
    void setTerm(const WitnessTerm &term, TimePoint now);
    const WitnessTerm &term() const;
    void request(const RequestKey &key, Duration remaining, TimePoint now);
    bool outstanding(const RequestKey &key) const;
    // Keys that the answer of a witness acknowledges for the first time.
    std::vector<Acknowledged> acknowledged(const NodeId &from, std::uint64_t sequence);
    // Prefers the other witness for the next claims.
    void avoid(const NodeId &witness);
    // Messages that are due, with their receivers. Between ticks only claims that are new or whose window has ended are looked for.
    std::vector<std::pair<MemberId, Claim>> due(TimePoint now, bool tick);
    // Time at which the window of claims that wait ends; empty if none waits.
    std::optional<TimePoint> windowEnd() const;
    // False if a witness has not answered for the isolation bound.
    bool witnessesHeard(TimePoint now) const;

private:
    struct Outstanding
    {
        Duration remaining;
        TimePoint requestedAt;
        // First message that may carry this request. An answer to an earlier one may belong to an older request of the key, which the
        // witness forgets earlier.
        std::uint64_t firstSequence = 0;
        std::size_t attempts = 0;
        ResendTimer timer;
    };
    // What a witness has been sent and has answered.
    struct Check
    {
        // Sending time of the last message that the witness answered.
        TimePoint answered;
        TimePoint next;
        // Last message with keys.
        std::uint64_t lastClaim = 0;
    };
    // A message that was not answered yet.
    struct OpenMessage
    {
        MemberId witness;
        TimePoint sentAt;
        std::vector<RequestKey> keys;
    };
    using Batches = std::map<std::pair<std::size_t, std::chrono::seconds>, std::vector<RequestKey>>;

    void addChecks(TimePoint now, std::vector<std::pair<MemberId, Claim>> &result);
    void addClaims(TimePoint now, std::vector<std::pair<MemberId, Claim>> &result);
    void addMessage(std::size_t witness, std::chrono::seconds remaining, std::vector<RequestKey> keys, TimePoint now,
                    std::vector<std::pair<MemberId, Claim>> &result);
    Batches takeDueClaims(TimePoint now);
    bool awaitsAnswer(const MemberId &witness, TimePoint now) const;
    void forgetOldMessages(TimePoint now);

    const OwnershipOptions &m_options;
    MemberId m_self;
    WitnessTerm m_term;
    std::size_t m_preferred = 0;
    bool m_changed = false;
    std::uint64_t m_sequence = 0;
    std::unordered_map<RequestKey, Outstanding> m_outstanding;
    std::map<MemberId, Check> m_checks;
    std::map<std::uint64_t, OpenMessage> m_open;
    std::optional<TimePoint> m_windowEnd;
};

} // namespace wisteriafork
