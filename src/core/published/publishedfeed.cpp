#include "core/published/publishedfeed.h"

#include <algorithm>
#include <set>

namespace wisteriafork {

PublishedFeed::PublishedFeed(std::size_t maxRememberedChanges) : m_maxRememberedChanges(maxRememberedChanges)
{
}

std::vector<PublishedChange> PublishedFeed::replaceAll(std::vector<PublishedChange> content, std::uint64_t revision)
{
    if (revision < m_completeRevision) {
        return {};
    }
    std::vector<PublishedChange> differences;
    std::set<std::string> keys;
    for (const PublishedChange &item : content) {
        keys.insert(item.key);
    }
    for (const auto &[key, item] : m_content) {
        if (!keys.contains(key)) {
            // The read does not tell when the key was removed.
            differences.push_back({.key = key, .revision = revision, .removed = true});
        }
    }
    for (PublishedChange &item : content) {
        const auto known = m_content.find(item.key);
        if (known == m_content.end() ? !isRemovedInFormerEra(item) : known->second.revision < item.revision) {
            differences.push_back(std::move(item));
        }
    }
    std::ranges::stable_sort(differences, {}, &PublishedChange::revision);
    for (const PublishedChange &change : differences) {
        remember(change);
    }
    // A key may have come and gone since the last known revision, so that other nodes cannot be told all changes up to this one.
    std::erase_if(m_remembered, [revision](const RememberedChange &change) { return change.revision <= revision; });
    m_rememberedFrom = revision;
    m_completeRevision = revision;
    return differences;
}

std::vector<PublishedChange> PublishedFeed::applyChanges(std::vector<PublishedChange> changes, std::uint64_t revision)
{
    std::vector<PublishedChange> applied;
    for (PublishedChange &change : changes) {
        const auto known = m_content.find(change.key);
        const std::uint64_t knownRevision = known != m_content.end() ? known->second.revision : m_completeRevision;
        if (change.revision <= knownRevision) {
            continue;
        }
        // The removal of a key that this node never knew is of use to nodes that do.
        const bool removesNothing = change.removed && known == m_content.end();
        remember(change);
        if (!removesNothing) {
            applied.push_back(std::move(change));
        }
    }
    m_completeRevision = std::max(m_completeRevision, revision);
    return applied;
}

std::vector<PublishedChange> PublishedFeed::merge(FeedUpdate update)
{
    if (update.to <= m_completeRevision) {
        return {};
    }
    if (update.whole) {
        return replaceAll(std::move(update.changes), update.to);
    }
    // Without the changes between the two revisions, the feed would not be complete.
    return update.from > m_completeRevision ? std::vector<PublishedChange>() : applyChanges(std::move(update.changes), update.to);
}

FeedUpdate PublishedFeed::updateSince(std::uint64_t revision) const
{
    FeedUpdate update{.from = revision, .to = m_completeRevision};
    if (revision >= m_completeRevision) {
        return update;
    }
    if (revision == 0 || revision < m_rememberedFrom) {
        update.whole = true;
        update.changes = content();
        return update;
    }
    std::map<std::string, std::uint64_t> changedKeys;
    for (const RememberedChange &change : m_remembered) {
        if (change.revision > revision) {
            changedKeys[change.key] = std::max(changedKeys[change.key], change.revision);
        }
    }
    for (const auto &[key, changeRevision] : changedKeys) {
        const auto known = m_content.find(key);
        update.changes.push_back(known != m_content.end() ? known->second
                                                          : PublishedChange{.key = key, .revision = changeRevision, .removed = true});
    }
    std::ranges::stable_sort(update.changes, {}, &PublishedChange::revision);
    return update;
}

std::vector<PublishedChange> PublishedFeed::content() const
{
    std::vector<PublishedChange> items;
    items.reserve(m_content.size());
    for (const auto &[key, item] : m_content) {
        items.push_back(item);
    }
    return items;
}

std::vector<PublishedChange> PublishedFeed::beginEra(std::uint64_t era, std::vector<PublishedChange> content, std::uint64_t revision,
                                                     const ReplacePolicy &mayReplace)
{
    if (era <= m_era) {
        return {};
    }
    std::vector<PublishedChange> differences;
    std::map<std::string, PublishedChange> taken;
    for (PublishedChange &copied : content) {
        const auto known = m_content.find(copied.key);
        const bool wasRemoved = known == m_content.end() && std::ranges::find(m_removedKeys, copied.key) != m_removedKeys.end();
        const PublishedChange former = known != m_content.end() ? known->second : PublishedChange{.key = copied.key, .removed = wasRemoved};
        const bool isNew = known == m_content.end() && !wasRemoved;
        const bool isUnchanged = known != m_content.end() && former.value == copied.value;
        if (isNew || (!isUnchanged && mayReplace(former, copied))) {
            differences.push_back(copied);
        } else if (wasRemoved) {
            continue;
        } else {
            copied.value = former.value;
        }
        taken.insert_or_assign(copied.key, std::move(copied));
    }
    for (const auto &[key, item] : m_content) {
        if (!taken.contains(key)) {
            differences.push_back({.key = key, .revision = revision, .removed = true});
            rememberRemoval(key);
        }
    }
    m_content = std::move(taken);
    m_remembered.clear();
    m_era = era;
    m_eraRevision = revision;
    m_rememberedFrom = revision;
    m_completeRevision = revision;
    m_lastChangeRevision = revision;
    return differences;
}

bool PublishedFeed::isRemovedInFormerEra(const PublishedChange &item) const
{
    return m_era > 0 && item.revision <= m_eraRevision && std::ranges::find(m_removedKeys, item.key) != m_removedKeys.end();
}

void PublishedFeed::rememberRemoval(const std::string &key)
{
    m_removedKeys.push_back(key);
    if (m_removedKeys.size() > m_maxRememberedChanges) {
        m_removedKeys.pop_front();
    }
}

void PublishedFeed::remember(const PublishedChange &change)
{
    if (change.removed) {
        if (m_content.erase(change.key) > 0) {
            rememberRemoval(change.key);
        }
    } else {
        m_content.insert_or_assign(change.key, change);
    }
    m_lastChangeRevision = std::max(m_lastChangeRevision, change.revision);
    m_remembered.push_back({.revision = change.revision, .key = change.key});
    while (m_remembered.size() > m_maxRememberedChanges) {
        m_rememberedFrom = std::max(m_rememberedFrom, m_remembered.front().revision);
        m_remembered.pop_front();
    }
}

} // namespace wisteriafork
