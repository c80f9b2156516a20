#include "core/published/publishedsync.h"

#include <algorithm>
#include <iterator>
#include <utility>

// The functions of PublishedSync about proofs that the configuration is the newest one, and about eras of the source.

namespace wisteriafork {

void PublishedSync::adoptProof(const ChangesResponse &response, TimePoint askedAt)
{
    constexpr auto Index = static_cast<std::size_t>(FeedId::Configuration);
    const bool knowsConfiguration
        = response.lastChanges.size() > Index && m_feeds[Index].lastChangeRevision() >= response.lastChanges[Index];
    // The request arrived after it was sent, so this time is never later than the one that was confirmed, whatever the delay and the
    // clocks.
    if (response.confirmedAfterArrival && knowsConfiguration && eraIn(response.eras, Index) == m_feeds[Index].era()) {
        recordProof(askedAt + *response.confirmedAfterArrival);
    }
}

void PublishedSync::onSourceConfirmed(TimePoint askedAt)
{
    m_confirmedBySource = askedAt;
    recordProof(askedAt);
}

void PublishedSync::recordProof(TimePoint confirmedAt)
{
    if (m_options.confirmationInterval > Duration(0) && (!m_confirmedAt || *m_confirmedAt < confirmedAt)) {
        m_confirmedAt = confirmedAt;
        m_callbacks.onConfirmed(confirmedAt);
        respondToWaiting();
    }
}

void PublishedSync::confirmIfDue()
{
    const TimePoint now = m_clock.now();
    const bool isRecent = m_confirmedBySource && m_proofClock.now() - *m_confirmedBySource < m_options.confirmationInterval;
    if (m_options.confirmationInterval > Duration(0) && m_reading && !isRecent
        && now - m_lastConfirmationRequest >= m_options.confirmationRetryInterval) {
        m_lastConfirmationRequest = now;
        m_callbacks.confirmSource();
    }
}

void PublishedSync::beginEra(FeedId feed, std::uint64_t era, std::vector<PublishedChange> content, std::uint64_t revision)
{
    const bool isFirstContent = mutableFeed(feed).completeRevision() == 0;
    const PublishedFeed::ReplacePolicy keepKnown = [](const PublishedChange &, const PublishedChange &) {
        return false;
    };
    if (!isFirstContent) {
        m_callbacks.onRemovalsHeld(m_options.restoredRemovalHold);
    }
    reportChanges(
        feed, mutableFeed(feed).beginEra(era, std::move(content), revision, m_callbacks.mayReplace ? m_callbacks.mayReplace : keepKnown));
    // What others were seen to know, and what the source confirmed, was about the former era.
    m_aheadRevisions[static_cast<std::size_t>(feed)] = 0;
    m_behindSince.reset();
}

std::vector<std::uint64_t> PublishedSync::eras() const
{
    std::vector<std::uint64_t> eras;
    for (const PublishedFeed &feed : m_feeds) {
        eras.push_back(feed.era());
    }
    return std::ranges::max(eras) == 0 ? std::vector<std::uint64_t>() : eras;
}

std::vector<std::uint64_t> PublishedSync::seenRevisions() const
{
    std::vector<std::uint64_t> revisions = lastChanges();
    std::ranges::copy(eras(), std::back_inserter(revisions));
    return revisions;
}

} // namespace wisteriafork
