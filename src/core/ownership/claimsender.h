#pragma once

#include "core/base/clock.h"
#include "core/ownership/claimmessages.h"
#include "core/ownership/joinmessages.h"
#include "core/ownership/ownershipoptions.h"
#include "core/ownership/resendtimer.h"

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wisteriafork {

// Sends the claims of an owner to one of its witnesses, nearest first, and to the other one when the first does not answer. Claims that
// become due together share a message.
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
    std::vector<Acknowledged> acknowledged(const ClaimAcknowledged &message);
    // Prefers the other witness for the next claims.
    void avoid(const NodeId &witness);
    // Messages that are due, with their receivers. Between ticks only new claims are looked for.
    std::vector<std::pair<MemberId, Claim>> due(TimePoint now, bool tick);
    // False if a witness has not answered for the isolation bound.
    bool witnessesHeard(TimePoint now) const;

private:
    struct Outstanding
    {
        Duration remaining;
        TimePoint requestedAt;
        std::size_t attempts = 0;
        ResendTimer timer;
    };
    struct Check
    {
        // Sending time of the last check that the witness answered.
        TimePoint answered;
        std::map<std::uint64_t, TimePoint> sent;
        TimePoint next;
    };

    void addChecks(TimePoint now, std::vector<std::pair<MemberId, Claim>> &result);
    void addClaims(TimePoint now, std::vector<std::pair<MemberId, Claim>> &result);

    const OwnershipOptions &m_options;
    MemberId m_self;
    WitnessTerm m_term;
    std::size_t m_preferred = 0;
    bool m_changed = false;
    std::uint64_t m_sequence = 0;
    std::unordered_map<RequestKey, Outstanding> m_outstanding;
    std::map<MemberId, Check> m_checks;
};

} // namespace wisteriafork
