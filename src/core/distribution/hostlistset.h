#pragma once

#include "core/base/finding.h"
#include "core/base/hostlist.h"
#include "core/distribution/distributionoptions.h"
#include "core/distribution/indexentry.h"
#include "core/distribution/valueindex.h"
#include "core/distribution/versionstamp.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriafork {

// The host lists that this node needs, with their texts for other nodes. Each list comes in force by itself. Used by `Distribution` only.
class HostListSet
{
public:
    using Text = std::shared_ptr<const std::string>;
    struct Entry
    {
        VersionStamp stamp;
        Text text;
        // Newest version that was found invalid.
        std::uint64_t heldBack = 0;
    };
    struct Invalid
    {
        VersionStamp stamp;
        std::vector<Finding> findings;
    };
    struct Conflict
    {
        VersionStamp kept;
        VersionStamp dropped;
        // The new content is the one kept.
        std::optional<HostList> list;
    };
    // Nothing new, a new list, an invalid one, or a second content of the version in force.
    using Result = std::variant<std::monostate, HostList, Invalid, Conflict>;

    // The options must outlive the set.
    explicit HostListSet(const DistributionOptions &options);

    Result offer(const IndexEntry &expected, const std::string &text);
    // Entries of the needed services whose list here is older.
    std::vector<IndexEntry> missing(const ValueIndex &index, const std::vector<ServiceId> &needed) const;
    // Drops the services that are not needed, and returns them.
    std::vector<ServiceId> keepOnly(const std::vector<ServiceId> &needed);
    // The list in force; null if there is none.
    const Entry *find(const ServiceId &service) const;

private:
    const DistributionOptions &m_options;
    std::map<ServiceId, Entry> m_lists;
};

} // namespace wisteriafork
