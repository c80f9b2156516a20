#include "core/distribution/hostlistset.h"

#include "core/base/hashing.h"
#include "core/distribution/hostlistjson.h"
#include "core/distribution/valuekey.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

HostListSet::HostListSet(const DistributionOptions &options) : m_options(options)
{
}

HostListSet::Result HostListSet::offer(const IndexEntry &expected, const std::string &text)
{
    Entry &entry = m_lists[expected.service];
    const std::uint64_t hash = hash64(text);
    if (hash == entry.stamp.hash) {
        return {};
    }
    tl::expected<HostList, std::vector<Finding>> list = HostListJson::parse(text);
    if (list && list->service != expected.service) {
        list = tl::unexpected(std::vector<Finding>{{.pointer = "/service", .message = "the list is of another service than its key"}});
    }
    if (!list) {
        if (entry.heldBack >= expected.version) {
            return {};
        }
        entry.heldBack = expected.version;
        return Invalid{.stamp = {.version = expected.version, .hash = hash}, .findings = std::move(list.error())};
    }
    const VersionStamp stamp{.version = list->version, .hash = hash};
    const bool conflict = stamp.version == entry.stamp.version;
    if (conflict && stamp < entry.stamp) {
        return Conflict{.kept = entry.stamp, .dropped = stamp, .list = std::nullopt};
    }
    if (stamp < entry.stamp && m_options.mechanisms.versionOrder) {
        return {};
    }
    const VersionStamp before = entry.stamp;
    entry.stamp = stamp;
    entry.text = std::make_shared<const std::string>(text);
    if (conflict) {
        return Conflict{.kept = stamp, .dropped = before, .list = std::move(*list)};
    }
    return std::move(*list);
}

std::vector<IndexEntry> HostListSet::missing(const ValueIndex &index, const std::vector<ServiceId> &needed) const
{
    std::vector<IndexEntry> missing;
    for (const ServiceId &service : needed) {
        const IndexEntry *wanted = index.find(service);
        if (wanted == nullptr || service.value() == CommonSlice) {
            continue;
        }
        const auto found = m_lists.find(service);
        if (found == m_lists.end() || std::max(found->second.stamp.version, found->second.heldBack) < wanted->version) {
            missing.push_back(*wanted);
        }
    }
    return missing;
}

std::vector<ServiceId> HostListSet::keepOnly(const std::vector<ServiceId> &needed)
{
    std::vector<ServiceId> dropped;
    for (const auto &[service, entry] : m_lists) {
        if (!std::binary_search(needed.begin(), needed.end(), service)) {
            dropped.push_back(service);
        }
    }
    for (const ServiceId &service : dropped) {
        m_lists.erase(service);
    }
    return dropped;
}

const HostListSet::Entry *HostListSet::find(const ServiceId &service) const
{
    const auto found = m_lists.find(service);
    return found != m_lists.end() && found->second.text != nullptr ? &found->second : nullptr;
}

} // namespace wisteriafork
