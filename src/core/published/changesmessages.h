#pragma once

#include "core/published/publishedchange.h"

#include <chrono>
#include <optional>

namespace wisteriafork {

// Question of one node to another one for published changes.
struct ChangesRequest
{
    // Revision up to which the sender knows each feed.
    std::vector<std::uint64_t> knownRevisions;
    // The sender relies on the receiver to read the source.
    bool asReader = false;
    // The receiver may wait for a change before it responds.
    bool mayWait = false;
    // The response needs no changes, only the revisions.
    bool revisionsOnly = false;
    // Eras of the revisions, one for each feed; empty if all are 0. Not part of the encoding.
    std::vector<std::uint64_t> eras;

    auto fields()
    {
        return std::tie(knownRevisions, asReader, mayWait, revisionsOnly);
    }
    auto fields() const
    {
        return std::tie(knownRevisions, asReader, mayWait, revisionsOnly);
    }
};

struct ChangesResponse
{
    // The sender cannot read the source at present, or does not read it any more.
    bool sourceLost = false;
    // Time for which the sender still holds removals back after an outage of the source.
    std::uint64_t holdRemovalsMs = 0;
    // Revision of the last change of each feed that the sender knows.
    std::vector<std::uint64_t> lastChanges;
    // One update for each feed; empty if the request was for revisions only.
    std::vector<FeedUpdate> feeds;
    // Time from the arrival of the request to the moment at which the sender last asked the source and was told that it knew the newest
    // configuration; negative if that was before the arrival. Empty if the sender has no proof. Not part of the encoding.
    std::optional<std::chrono::microseconds> confirmedAfterArrival;
    // Eras of the revisions, one for each feed; empty if all are 0. Not part of the encoding.
    std::vector<std::uint64_t> eras;

    auto fields()
    {
        return std::tie(sourceLost, holdRemovalsMs, lastChanges, feeds);
    }
    auto fields() const
    {
        return std::tie(sourceLost, holdRemovalsMs, lastChanges, feeds);
    }
};

// Era of the feed with this index, in the lists of the messages above.
inline std::uint64_t eraIn(const std::vector<std::uint64_t> &eras, std::size_t index)
{
    return index < eras.size() ? eras[index] : 0;
}

} // namespace wisteriafork
