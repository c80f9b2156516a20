#pragma once

#include "core/distribution/indexdelta.h"
#include "core/distribution/indexentry.h"
#include "core/distribution/valuefamily.h"
#include "core/distribution/versionstamp.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace wisteriafork {

// Newest known index of one family, with its last changes. The hash of an index is the sum of the hashes of its entries, so that a delta
// gives it without a pass over all entries; the whole index of 890 services is sent only to nodes that are far behind.
class ValueIndex
{
public:
    ValueIndex(ValueFamily family, std::size_t history);

    const VersionStamp &stamp() const;
    const std::vector<IndexEntry> &entries() const;
    // Entry of a service; null if there is none.
    const IndexEntry *find(const ServiceId &service) const;

    // Stamp that an index with these entries has.
    static VersionStamp stampOf(std::uint64_t version, const std::vector<IndexEntry> &entries);
    // Takes a whole index, whatever its version.
    void replace(std::uint64_t version, std::vector<IndexEntry> entries);
    // Takes the entries of a part of an index, with the stamp of the whole.
    void replacePart(const VersionStamp &stamp, std::vector<IndexEntry> entries);
    // Applies a delta that starts at the own stamp, or at zero. False, with no change, if it starts elsewhere or the result does not have
    // the hash that it names. The version is not checked.
    bool apply(const IndexDelta &delta, bool checkHash);
    // Changes since a stamp, merged; the whole index if the stamp is not among the last changes.
    IndexDelta deltaSince(const VersionStamp &have) const;
    // The stamp is the own one or among the last changes, so that a delta is small.
    bool knows(const VersionStamp &have) const;

private:
    std::vector<IndexEntry>::iterator lowerBound(const ServiceId &service);
    void put(const IndexEntry &entry);
    void remove(const ServiceId &service);
    void remember(IndexDelta delta);

    ValueFamily m_family;
    std::size_t m_historySize;
    VersionStamp m_stamp;
    // Ordered by service.
    std::vector<IndexEntry> m_entries;
    std::deque<IndexDelta> m_history;
};

} // namespace wisteriafork
