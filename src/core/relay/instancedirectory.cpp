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
    m_removedAt.erase(instance.id);
    m_displaced.erase(instance.id);
    if (!isKnownService(instance.service)) {
        // No request goes there, so that the entry must not displace the one of an instance at the same address.
        storeEntry(std::move(instance));
        return;
    }
    if (const auto other = m_idByAddress.find(instance.address); other != m_idByAddress.end() && other->second != instance.id) {
        const Instance *known = find(other->second);
        if (known != nullptr && known->listRevision > instance.listRevision) {
            // The entry belongs to an instance that has ended and whose address is in use again, or the newer one to another writer.
            erase(instance.id);
            const std::string id = instance.id;
            m_displaced.emplace(id, std::move(instance));
            return;
        }
        if (known != nullptr) {
            m_displaced.insert_or_assign(known->id, *known);
        }
        erase(std::string(other->second));
    }
    const std::string id = instance.id;
    const std::string address = instance.address;
    storeEntry(std::move(instance));
    m_idByAddress[address] = id;
}

void InstanceDirectory::storeEntry(Instance instance)
{
    ++m_changeCount;
    if (const Instance *known = find(instance.id); known != nullptr && known->service == instance.service) {
        forgetAddress(*known);
        auto &list = m_instancesByService[instance.service];
        *std::ranges::find(list, instance.id, &Instance::id) = std::move(instance);
        return;
    }
    erase(std::string(instance.id));
    m_serviceById.emplace(instance.id, instance.service);
    m_instancesByService[instance.service].push_back(std::move(instance));
}

void InstanceDirectory::forgetAddress(const Instance &instance)
{
    const auto found = m_idByAddress.find(instance.address);
    if (found != m_idByAddress.end() && found->second == instance.id) {
        m_idByAddress.erase(found);
    }
}

void InstanceDirectory::setServices(std::unordered_set<ServiceId> services)
{
    m_services = std::move(services);
}

bool InstanceDirectory::isKnownService(const ServiceId &service) const
{
    return m_services.empty() || m_services.contains(service);
}

bool InstanceDirectory::wasRemoved(const std::string &id) const
{
    return m_removedAt.contains(id);
}

void InstanceDirectory::remove(const std::string &id)
{
    const Instance *known = find(id);
    if (known == nullptr) {
        m_displaced.erase(id);
        return;
    }
    // An instance that was draining has shut down. Only an entry that expired without draining may belong to a live instance.
    if (isHoldingRemovals() && !known->draining) {
        m_heldRemovals.insert(id);
        return;
    }
    eraseAndRestore(id);
    m_removedAt[id] = m_clock.now();
}

void InstanceDirectory::eraseAndRestore(const std::string &id)
{
    const std::string address = find(id)->address;
    erase(id);
    auto newest = m_displaced.end();
    for (auto entry = m_displaced.begin(); entry != m_displaced.end(); ++entry) {
        const bool isNewer = newest == m_displaced.end() || entry->second.listRevision > newest->second.listRevision;
        newest = entry->second.address == address && isNewer ? entry : newest;
    }
    if (newest != m_displaced.end()) {
        insertOrReplace(Instance(newest->second));
    }
}

void InstanceDirectory::replaceAll(std::vector<Instance> instances)
{
    std::unordered_set<std::string> listed;
    for (Instance &instance : instances) {
        listed.insert(instance.id);
        insertOrReplace(std::move(instance));
    }
    std::erase_if(m_displaced, [&](const auto &entry) { return !listed.contains(entry.first); });
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
        if (liveEntriesMayHaveExpired) {
            holdRemovals(m_options.removalHoldTime);
        }
    }
}

void InstanceDirectory::holdRemovals(Duration time)
{
    m_holdUntil = std::max(m_holdUntil, m_clock.now() + std::min(time, m_options.removalHoldTime));
}

Duration InstanceDirectory::remainingHoldTime() const
{
    return std::max(Duration(0), m_holdUntil - m_clock.now());
}

void InstanceDirectory::tick()
{
    std::erase_if(m_removedAt, [this](const auto &entry) { return m_clock.now() - entry.second >= m_options.removedIdLifetime; });
    if (m_heldRemovals.empty() || m_sourceIsLost || m_clock.now() < m_holdUntil) {
        return;
    }
    for (const std::string &id : std::exchange(m_heldRemovals, {})) {
        eraseAndRestore(id);
        m_removedAt[id] = m_clock.now();
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
    ++m_changeCount;
    auto &list = m_instancesByService[known->second];
    const auto entry = std::ranges::find(list, id, &Instance::id);
    forgetAddress(*entry);
    list.erase(entry);
    m_heldRemovals.erase(id);
    m_serviceById.erase(known);
}

bool InstanceDirectory::isHoldingRemovals() const
{
    return m_sourceIsLost || m_clock.now() < m_holdUntil;
}

} // namespace wisteriafork
