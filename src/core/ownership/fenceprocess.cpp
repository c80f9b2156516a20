#include "core/ownership/fenceprocess.h"

#include <algorithm>

namespace wisteriafork {

FenceProcess::FenceProcess(const OwnershipOptions &options, const MemberId &target, TimePoint now)
    : m_options(options)
    , m_target(target)
    , m_timer(options.resendInterval, options.maximumResendInterval)
    , m_overdueAt(now + options.isolationBound + 2 * options.maximumRetention)
{
}

std::vector<MemberId> FenceProcess::missing(const OwnerEntry &target) const
{
    std::vector<MemberId> result;
    for (const WitnessTerm &term : target.terms) {
        for (const MemberId &witness : term.witnesses) {
            if (!m_acknowledged.contains(witness) && std::find(result.begin(), result.end(), witness) == result.end()) {
                result.push_back(witness);
            }
        }
    }
    return result;
}

void FenceProcess::send(const OwnerEntry &target, const OwnerView &view, TimePoint now, OutgoingMessages &messages)
{
    if (!m_timer.due(now)) {
        return;
    }
    m_timer.sent(now);
    for (const MemberId &witness : missing(target)) {
        const OwnerEntry *entry = view.find(witness);
        if (entry != nullptr && witness != view.self().id) {
            messages.push_back({entry->address, Fence{.sender = view.self().id, .target = m_target, .witness = witness.incarnation}});
        }
    }
}

void FenceProcess::acknowledged(const MemberId &witness, TimePoint now)
{
    m_acknowledged.try_emplace(witness, now);
}

bool FenceProcess::overdue(TimePoint now)
{
    if (now < m_overdueAt) {
        return false;
    }
    m_overdueAt = now + m_options.maximumRetention;
    return true;
}

bool FenceProcess::complete(const OwnerEntry &target, const MemberId &self, bool termsKnown, TimePoint now) const
{
    const bool ended = target.endedAt.has_value();
    if (ended && now - *target.endedAt >= m_options.maximumRetention) {
        return true;
    }
    if (!termsKnown) {
        return false;
    }
    const bool otherAcknowledged
        = std::any_of(m_acknowledged.begin(), m_acknowledged.end(), [&self](const auto &item) { return item.first != self; });
    if (!m_options.mechanisms.fenceAtAllWitnesses) {
        return otherAcknowledged;
    }
    // Nobody can tell what an owner without witnesses ran.
    const bool witnessed = !target.terms.empty()
        && std::none_of(target.terms.begin(), target.terms.end(), [](const WitnessTerm &term) { return term.witnesses.empty(); });
    if (witnessed && missing(target).empty()) {
        return otherAcknowledged || ended;
    }
    return silentWitnessesOverdue(target, self, now);
}

bool FenceProcess::silentWitnessesOverdue(const OwnerEntry &target, const MemberId &self, TimePoint now) const
{
    if (target.terms.empty()) {
        return false;
    }
    // An owner that has not heard one of its witnesses for the isolation bound stops by itself; its last runs may then still be within
    // their retention time.
    const Duration wait = m_options.isolationBound + m_options.maximumRetention;
    return std::all_of(target.terms.begin(), target.terms.end(), [&](const WitnessTerm &term) {
        return std::any_of(term.witnesses.begin(), term.witnesses.end(), [&](const MemberId &witness) {
            const auto found = m_acknowledged.find(witness);
            return witness != self && found != m_acknowledged.end() && now - found->second >= wait;
        });
    });
}

} // namespace wisteriafork
