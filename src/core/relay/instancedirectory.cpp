#include "core/relay/instancedirectory.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

InstanceDirectory::InstanceDirectory(const InstanceDirectoryOptions &options, const Clock &clock) : m_options(options), m_clock(clock)
{
}

void InstanceDirectory::insertOrReplace(Instance instance)
{
    m_held.erase(instance.id);
    if (const auto other = m_atAddress.find(instance.address); other != m_atAddress.end() && other->second != instance.id) {
        const Instance *known = find(other->second);
        if (known != nullptr && known->listRevision > instance.listRevision) {
            // An entry of an instance that has ended and whose address is in use again.
            erase(instance.id);
            return;
        }
        erase(std::string(other->second));
    }
    m_atAddress[instance.address] = instance.id;
    if (const auto known = m_serviceOf.find(instance.id); known != m_serviceOf.end()) {
        if (known->second == instance.service) {
            auto &list = m_services[instance.service];
            *std::ranges::find(list, instance.id, &Instance::id) = std::move(instance);
            return;
        }
        erase(instance.id);
    }
    m_serviceOf.emplace(instance.id, instance.service);
    m_services[instance.service].push_back(std::move(instance));
}

void InstanceDirectory::remove(const std::string &id)
{
    const Instance *known = find(id);
    if (known == nullptr) {
        return;
    }
    // An instance that said it leaves has left; only entries that vanish without that may belong to a live instance.
    if (holdsRemovals() && !known->draining) {
        m_held.insert(id);
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
    for (const auto &[id, service] : m_serviceOf) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        remove(id);
    }
}

void InstanceDirectory::onSourceLost(TimePoint lastAnswer)
{
    m_lost = true;
    m_lastAnswer = lastAnswer;
}

void InstanceDirectory::onSourceRestored()
{
    if (m_lost) {
        m_lost = false;
        const bool entriesMayHaveLapsed = m_clock.now() - m_lastAnswer >= m_options.outageBeforeExpiry;
        m_holdUntil = entriesMayHaveLapsed ? m_clock.now() + m_options.removalHoldTime : m_holdUntil;
    }
}

void InstanceDirectory::tick()
{
    if (m_held.empty() || m_lost || m_clock.now() < m_holdUntil) {
        return;
    }
    for (const std::string &id : std::exchange(m_held, {})) {
        erase(id);
    }
}

std::span<const Instance> InstanceDirectory::instancesOf(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::span<const Instance>() : std::span<const Instance>(found->second);
}

const Instance *InstanceDirectory::find(std::string_view id) const
{
    const auto service = m_serviceOf.find(std::string(id));
    if (service == m_serviceOf.end()) {
        return nullptr;
    }
    const auto &list = m_services.at(service->second);
    return &*std::ranges::find(list, id, &Instance::id);
}

const Instance *InstanceDirectory::findByAddress(std::string_view address) const
{
    const auto found = m_atAddress.find(std::string(address));
    return found == m_atAddress.end() ? nullptr : find(found->second);
}

std::set<std::string> InstanceDirectory::peerAddresses() const
{
    std::set<std::string> addresses;
    for (const auto &[service, list] : m_services) {
        for (const Instance &instance : list) {
            addresses.insert(instance.peerAddress);
        }
    }
    return addresses;
}

std::vector<Instance> InstanceDirectory::allInstances() const
{
    std::vector<Instance> listed;
    for (const auto &[service, instances] : m_services) {
        listed.insert(listed.end(), instances.begin(), instances.end());
    }
    return listed;
}

std::size_t InstanceDirectory::size() const
{
    return m_serviceOf.size();
}

void InstanceDirectory::erase(const std::string &id)
{
    const auto known = m_serviceOf.find(id);
    if (known == m_serviceOf.end()) {
        return;
    }
    std::erase_if(m_atAddress, [&id](const auto &entry) { return entry.second == id; });
    std::erase_if(m_services[known->second], [&id](const Instance &instance) { return instance.id == id; });
    m_held.erase(id);
    m_serviceOf.erase(known);
}

bool InstanceDirectory::holdsRemovals() const
{
    return m_lost || m_clock.now() < m_holdUntil;
}

} // namespace wisteriafork
