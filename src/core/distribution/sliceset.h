#pragma once

#include "core/base/finding.h"
#include "core/base/ids.h"
#include "core/distribution/distributionoptions.h"
#include "core/distribution/indexentry.h"
#include "core/distribution/valueindex.h"
#include "core/distribution/versionstamp.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriafork {

// The slices that this node needs: those in force, and those that wait until their version is whole. Used by `Distribution` only.
class SliceSet
{
public:
    using Text = std::shared_ptr<const std::string>;
    struct Invalid
    {
        ServiceId service;
        IndexEntry entry;
        std::vector<Finding> findings;
    };
    struct Promotion
    {
        // The version of the index came in force.
        bool done = false;
        // A slice in force changed, or one was added or removed.
        bool changed = false;
        // Slices that hold the version back.
        std::vector<Invalid> invalid;
    };

    // The options must outlive the set. `own` is the service beside which the node runs.
    SliceSet(const DistributionOptions &options, ServiceId own);

    void require(const ServiceId &service);
    // Keeps a text that belongs to the index. False if the index does not name this content.
    bool offer(const ServiceId &service, std::string text, const ValueIndex &index);
    // Entries of needed slices whose text is not here.
    std::vector<IndexEntry> missing(const ValueIndex &index) const;
    // Brings the version of the index in force if all needed slices are here and valid.
    Promotion promote(const ValueIndex &index);
    // Services needed when the index is in force, as far as the texts that are here tell; ordered, with `_common`.
    std::vector<ServiceId> neededFor(const ValueIndex &index) const;
    // Text with this hash, if it is here; null otherwise.
    Text find(const ServiceId &service, std::uint64_t hash) const;

    const VersionStamp &inForce() const;
    // Needed services with `_common`, for the version in force.
    const std::vector<ServiceId> &needed() const;
    std::vector<std::pair<ServiceId, Text>> slices() const;

private:
    struct Held
    {
        std::uint64_t hash = 0;
        Text text;
    };
    struct Slot
    {
        Held inForce;
        Held staged;
        // Hash of a text that was found invalid, with its findings.
        std::uint64_t checkedHash = 0;
        std::vector<Finding> findings;
    };

    const std::vector<Finding> &check(const ServiceId &service, Slot &slot, const Held &held);
    bool switchTo(const ValueIndex &index, const std::vector<ServiceId> &needed);

    const DistributionOptions &m_options;
    ServiceId m_own;
    std::vector<ServiceId> m_required;
    std::vector<ServiceId> m_needed;
    VersionStamp m_inForce;
    std::map<ServiceId, Slot> m_slots;
    // Services called by the own slice with the hash, so that the slice is not parsed again for each version.
    mutable std::pair<std::uint64_t, std::vector<ServiceId>> m_called;
};

} // namespace wisteriafork
