#include "core/relay/instancedirectory.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

InstanceDirectory::InstanceDirectory(const InstanceDirectoryOptions &options, const Clock &clock) : m_options(options), m_clock(clock)
{
}

void InstanceDirectory::insertOrReplace(Instance instance)
{
    m_heldRemovals.erase(instance.id);
    if (const auto other = m_idByAddress.find(instance.address); other != m_idByAddress.end() && other->second != instance.id) {
        const Instance *known = find(other->second);
        if (known != nullptr && known->listRevision > instance.listRevision) {
            // The entry belongs to an instance that has ended and whose address is in use again.
            erase(instance.id);
            return;
        }
        erase(std::string(other->second));
    }
    m_idByAddress[instance.address] = instance.id;
    if (const auto known = m_serviceById.find(instance.id); known != m_serviceById.end()) {
        if (known->second == instance.service) {
            auto &list = m_instancesByService[instance.service];
            *std::ranges::find(list, instance.id, &Instance::id) = std::move(instance);
            return;
        }
        erase(instance.id);
    }
    m_serviceById.emplace(instance.id, instance.service);
    m_instancesByService[instance.service].push_back(std::move(instance));
}

void InstanceDirectory::remove(const std::string &id)
{
    const Instance *known = find(id);
    if (known == nullptr) {
        return;
    }
    // An instance that was draining has shut down. Only an entry that expired without draining may belong to a live instance.
    if (isHoldingRemovals() && !known->draining) {
        m_heldRemovals.insert(id);
        return;
    }
    erase(id);
}

void InstanceDirectory::replaceAll(std::vector<Instance> instances)
{
    std::unordered_set<std::string> listed;
    for (Instance &instance : instances) {
        listed.insert(instance.id);
        insertOrReplace(std::move(instance));
    }
    std::vector<std::string> missing;
    for (const auto &[id, service] : m_serviceById) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        remove(id);
    }
}

void InstanceDirectory::onSourceLost(TimePoint lastReadTime)
{
    m_sourceIsLost = true;
    m_lastReadTime = lastReadTime;
}

void InstanceDirectory::onSourceRestored()
{
    if (m_sourceIsLost) {
        m_sourceIsLost = false;
        const bool liveEntriesMayHaveExpired = m_clock.now() - m_lastReadTime >= m_options.outageBeforeExpiry;
        m_holdUntil = liveEntriesMayHaveExpired ? m_clock.now() + m_options.removalHoldTime : m_holdUntil;
    }
}

void InstanceDirectory::tick()
{
    if (m_heldRemovals.empty() || m_sourceIsLost || m_clock.now() < m_holdUntil) {
        return;
    }
    for (const std::string &id : std::exchange(m_heldRemovals, {})) {
        erase(id);
    }
}

std::span<const Instance> InstanceDirectory::instancesOf(const ServiceId &service) const
{
    const auto found = m_instancesByService.find(service);
    return found == m_instancesByService.end() ? std::span<const Instance>() : std::span<const Instance>(found->second);
}

const Instance *InstanceDirectory::find(std::string_view id) const
{
    const auto service = m_serviceById.find(std::string(id));
    if (service == m_serviceById.end()) {
        return nullptr;
    }
    const auto &list = m_instancesByService.at(service->second);
    return &*std::ranges::find(list, id, &Instance::id);
}

const Instance *InstanceDirectory::findByAddress(std::string_view address) const
{
    const auto found = m_idByAddress.find(std::string(address));
    return found == m_idByAddress.end() ? nullptr : find(found->second);
}

std::set<std::string> InstanceDirectory::peerAddresses() const
{
    std::set<std::string> addresses;
    for (const auto &[service, list] : m_instancesByService) {
        for (const Instance &instance : list) {
            addresses.insert(instance.peerAddress);
        }
    }
    return addresses;
}

std::vector<Instance> InstanceDirectory::allInstances() const
{
    std::vector<Instance> listed;
    for (const auto &[service, instances] : m_instancesByService) {
        listed.insert(listed.end(), instances.begin(), instances.end());
    }
    return listed;
}

std::size_t InstanceDirectory::size() const
{
    return m_serviceById.size();
}

void InstanceDirectory::erase(const std::string &id)
{
    const auto known = m_serviceById.find(id);
    if (known == m_serviceById.end()) {
        return;
    }
    std::erase_if(m_idByAddress, [&id](const auto &entry) { return entry.second == id; });
    std::erase_if(m_instancesByService[known->second], [&id](const Instance &instance) { return instance.id == id; });
    m_heldRemovals.erase(id);
    m_serviceById.erase(known);
}

bool InstanceDirectory::isHoldingRemovals() const
{
    return m_sourceIsLost || m_clock.now() < m_holdUntil;
}

} // namespace wisteriafork
