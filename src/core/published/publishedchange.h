#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace wisteriafork {

// One change of the published state: a key with its new value, or a key that was removed.
struct PublishedChange
{
    std::string key;
    std::string value;
    // Revision of the source at which the key was created.
    std::uint64_t creationRevision = 0;
    // Revision of the source of this change.
    std::uint64_t revision = 0;
    bool removed = false;

    auto fields()
    {
        return std::tie(key, value, creationRevision, revision, removed);
    }
    auto fields() const
    {
        return std::tie(key, value, creationRevision, revision, removed);
    }
};

// What one node tells another one about a feed.
struct FeedUpdate
{
    // The receiver must know all changes up to this revision. Not used if `whole` is true.
    std::uint64_t from = 0;
    // With this update, all changes up to this revision are known.
    std::uint64_t to = 0;
    // `changes` is the whole content of the feed.
    bool whole = false;
    std::vector<PublishedChange> changes;

    auto fields()
    {
        return std::tie(from, to, whole, changes);
    }
    auto fields() const
    {
        return std::tie(from, to, whole, changes);
    }
};

} // namespace wisteriafork
