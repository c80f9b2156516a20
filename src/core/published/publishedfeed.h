#pragma once

#include "core/published/publishedchange.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>

namespace wisteriafork {

// The published keys of one kind, as one node knows them, from the source or from other nodes. The source numbers all changes with one
// growing revision. All that is known is complete up to one revision, so that an older report about a key that is not known any more is
// recognized as outdated: what a newer source has removed never returns. Recent changes are remembered, so that other nodes get only what
// they lack. Not thread safe.
class PublishedFeed
{
public:
    // `maxRememberedChanges` bounds the changes that other nodes can be told one by one. A node that lacks more gets the whole content.
    explicit PublishedFeed(std::size_t maxRememberedChanges = 2048);

    // Decides whether an item of an older copy of the source replaces the known one of the same key. `known.removed` is set if the key is
    // known to have been removed.
    using ReplacePolicy = std::function<bool(const PublishedChange &known, const PublishedChange &copied)>;

    // Number of times that the source has come back from an older copy. Revisions are comparable within one era only.
    std::uint64_t era() const
    {
        return m_era;
    }

    // Takes over the content of the source after it has come back from an older copy, complete up to `revision` of a later era. What is
    // known stays in force where the policy says so, with the revision of the copy, so that later changes replace it; a removed key stays
    // removed until it is written again. Returns the differences, among them the removal of keys that the copy lacks; none if the era is
    // not later.
    std::vector<PublishedChange> beginEra(std::uint64_t era, std::vector<PublishedChange> content, std::uint64_t revision,
                                          const ReplacePolicy &mayReplace);

    // All changes up to this revision are known; 0 if nothing is.
    std::uint64_t completeRevision() const
    {
        return m_completeRevision;
    }

    // Revision of the last known change.
    std::uint64_t lastChangeRevision() const
    {
        return m_lastChangeRevision;
    }

    // Replaces the content by what was read from the source: complete up to `revision`, and possibly with some later changes. Returns the
    // differences; none if the content is already known up to a later revision.
    std::vector<PublishedChange> replaceAll(std::vector<PublishedChange> content, std::uint64_t revision);
    // Applies the next changes of the source, up to `revision`. Returns those that were not known.
    std::vector<PublishedChange> applyChanges(std::vector<PublishedChange> changes, std::uint64_t revision);
    // Applies the update of another node. Returns the changes that were not known.
    std::vector<PublishedChange> merge(FeedUpdate update);
    // Update for a node that knows all changes up to this revision.
    FeedUpdate updateSince(std::uint64_t revision) const;
    // The whole content, ordered by key.
    std::vector<PublishedChange> content() const;

private:
    struct RememberedChange
    {
        std::uint64_t revision = 0;
        std::string key;
    };

    void remember(const PublishedChange &change);
    void rememberRemoval(const std::string &key);
    // True if the item comes from the copy with which the era began, and its key had been removed before.
    bool isRemovedInFormerEra(const PublishedChange &item) const;

    const std::size_t m_maxRememberedChanges;
    std::map<std::string, PublishedChange> m_content;
    // Changes after `m_rememberedFrom`. The values are in `m_content`, unless the key was removed.
    std::deque<RememberedChange> m_remembered;
    std::uint64_t m_rememberedFrom = 0;
    // Keys that were removed last, in order of their removal.
    std::deque<std::string> m_removedKeys;
    std::uint64_t m_era = 0;
    // Revision up to which the content was known at the beginning of the era.
    std::uint64_t m_eraRevision = 0;
    std::uint64_t m_completeRevision = 0;
    std::uint64_t m_lastChangeRevision = 0;
};

} // namespace wisteriafork
