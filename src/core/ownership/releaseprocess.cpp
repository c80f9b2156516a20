#include "core/ownership/releaseprocess.h"

#include <algorithm>

namespace wisteriafork {

ReleaseProcess::ReleaseProcess(const OwnershipOptions &options)
    : m_options(options), m_timer(options.resendInterval, options.maximumResendInterval)
{
}

void ReleaseProcess::start(std::vector<HandedRecord> records)
{
    ++m_sequence;
    m_records = std::move(records);
    m_acknowledged.clear();
    m_timer.reset();
}

bool ReleaseProcess::started() const
{
    return m_sequence > 0;
}

void ReleaseProcess::send(const OwnerView &view, TimePoint now, OutgoingMessages &messages)
{
    if (!started() || !m_timer.due(now)) {
        return;
    }
    m_timer.sent(now);
    for (const OwnerEntry *owner : view.owners()) {
        if (!m_acknowledged.contains(owner->address.id)) {
            messages.push_back({owner->address, Release{.sender = view.self().id, .sequence = m_sequence, .records = m_records}});
        }
    }
}

void ReleaseProcess::acknowledged(const MemberId &member, std::uint64_t sequence)
{
    m_informed.insert(member);
    if (sequence == m_sequence) {
        m_acknowledged.insert(member);
    }
}

bool ReleaseProcess::knows(const MemberId &member) const
{
    return m_informed.contains(member);
}

bool ReleaseProcess::complete(const OwnerView &view) const
{
    const std::vector<const OwnerEntry *> owners = view.owners();
    return std::all_of(owners.begin(), owners.end(), [this, &view](const OwnerEntry *owner) {
        return m_acknowledged.contains(owner->address.id) || view.listSaysGone(owner->address.id);
    });
}

} // namespace wisteriafork
