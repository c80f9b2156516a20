#include "core/distribution/valueindex.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <map>
#include <utility>

namespace wisteriafork {

namespace {
std::uint64_t hashOf(const IndexEntry &entry)
{
    return hash64(entry.service.value(), (entry.version * 0x9e3779b97f4a7c15ULL) ^ entry.hash);
}

bool byService(const IndexEntry &first, const IndexEntry &second)
{
    return first.service < second.service;
}
} // namespace

ValueIndex::ValueIndex(ValueFamily family, std::size_t history) : m_family(family), m_historySize(history)
{
}

const VersionStamp &ValueIndex::stamp() const
{
    return m_stamp;
}

const std::vector<IndexEntry> &ValueIndex::entries() const
{
    return m_entries;
}

const IndexEntry *ValueIndex::find(const ServiceId &service) const
{
    const auto found = std::lower_bound(m_entries.begin(), m_entries.end(), IndexEntry{.service = service}, byService);
    return found != m_entries.end() && found->service == service ? &*found : nullptr;
}

VersionStamp ValueIndex::stampOf(std::uint64_t version, const std::vector<IndexEntry> &entries)
{
    VersionStamp stamp{.version = version, .hash = 0};
    for (const IndexEntry &entry : entries) {
        stamp.hash += hashOf(entry);
    }
    return stamp;
}

void ValueIndex::replace(std::uint64_t version, std::vector<IndexEntry> entries)
{
    std::sort(entries.begin(), entries.end(), byService);
    IndexDelta delta{.family = m_family, .from = m_stamp, .to = stampOf(version, entries), .changed = {}, .removed = {}, .replyTo = {}};
    std::set_difference(entries.begin(), entries.end(), m_entries.begin(), m_entries.end(), std::back_inserter(delta.changed),
                        [](const IndexEntry &a, const IndexEntry &b) {
                            return std::tie(a.service, a.version, a.hash) < std::tie(b.service, b.version, b.hash);
                        });
    for (const IndexEntry &old : m_entries) {
        if (!std::binary_search(entries.begin(), entries.end(), old, byService)) {
            delta.removed.push_back(old.service);
        }
    }
    m_entries = std::move(entries);
    m_stamp = delta.to;
    remember(std::move(delta));
}

void ValueIndex::replacePart(const VersionStamp &stamp, std::vector<IndexEntry> entries)
{
    std::sort(entries.begin(), entries.end(), byService);
    m_entries = std::move(entries);
    m_stamp = stamp;
    m_history.clear();
}

bool ValueIndex::apply(const IndexDelta &delta, bool checkHash)
{
    if (delta.from == VersionStamp{}) {
        if (checkHash && stampOf(delta.to.version, delta.changed) != delta.to) {
            return false;
        }
        replace(delta.to.version, delta.changed);
        return true;
    }
    if (delta.from != m_stamp) {
        return false;
    }
    std::uint64_t hash = m_stamp.hash;
    for (const IndexEntry &entry : delta.changed) {
        const IndexEntry *old = find(entry.service);
        hash += hashOf(entry) - (old != nullptr ? hashOf(*old) : 0);
    }
    for (const ServiceId &service : delta.removed) {
        const IndexEntry *old = find(service);
        hash -= old != nullptr ? hashOf(*old) : 0;
    }
    if (checkHash && hash != delta.to.hash) {
        return false;
    }
    for (const IndexEntry &entry : delta.changed) {
        put(entry);
    }
    for (const ServiceId &service : delta.removed) {
        remove(service);
    }
    m_stamp = delta.to;
    remember(delta);
    return true;
}

IndexDelta ValueIndex::deltaSince(const VersionStamp &have) const
{
    IndexDelta merged{.family = m_family, .from = have, .to = m_stamp, .changed = {}, .removed = {}, .replyTo = {}};
    if (!knows(have)) {
        merged.from = {};
        merged.changed = m_entries;
        return merged;
    }
    // The last news of each service counts; an entry without version stands for a removal.
    std::map<ServiceId, IndexEntry> news;
    for (auto delta = std::find_if(m_history.begin(), m_history.end(), [&](const IndexDelta &d) { return d.from == have; });
         delta != m_history.end(); ++delta) {
        for (const IndexEntry &entry : delta->changed) {
            news[entry.service] = entry;
        }
        for (const ServiceId &service : delta->removed) {
            news[service] = {.service = service, .version = 0, .hash = 0};
        }
    }
    for (const auto &[service, entry] : news) {
        if (entry.version == 0) {
            merged.removed.push_back(service);
        } else {
            merged.changed.push_back(entry);
        }
    }
    return merged;
}

bool ValueIndex::knows(const VersionStamp &have) const
{
    return have == m_stamp || std::any_of(m_history.begin(), m_history.end(), [&](const IndexDelta &delta) { return delta.from == have; });
}

std::vector<IndexEntry>::iterator ValueIndex::lowerBound(const ServiceId &service)
{
    return std::lower_bound(m_entries.begin(), m_entries.end(), IndexEntry{.service = service, .version = 0, .hash = 0}, byService);
}

void ValueIndex::put(const IndexEntry &entry)
{
    const auto place = lowerBound(entry.service);
    if (place != m_entries.end() && place->service == entry.service) {
        *place = entry;
    } else {
        m_entries.insert(place, entry);
    }
}

void ValueIndex::remove(const ServiceId &service)
{
    const auto place = lowerBound(service);
    if (place != m_entries.end() && place->service == service) {
        m_entries.erase(place);
    }
}

void ValueIndex::remember(IndexDelta delta)
{
    constexpr std::size_t LargestDelta = 64;
    // A delta that is nearly a whole index is not worth its memory, and the chain of deltas must have no gap.
    if (delta.from == VersionStamp{} || delta.changed.size() > LargestDelta) {
        m_history.clear();
        return;
    }
    delta.replyTo.clear();
    m_history.push_back(std::move(delta));
    if (m_history.size() > m_historySize) {
        m_history.pop_front();
    }
}

} // namespace wisteriafork
