#pragma once

#include "core/relay/instance.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wisteriafork {

struct InstanceDirectoryOptions
{
    // Time for which removals are held back after the list is readable again. Live instances are listed again within about two seconds of
    // that moment.
    Duration removalHoldTime = std::chrono::milliseconds(2300);
    // Shortest outage of the list after which removals are held back, because entries of live instances may have expired. The platform
    // removes an entry after three missed heartbeats of usually 1.5 s. The first one may be missed by chance, hence two heartbeats.
    Duration outageBeforeExpiry = std::chrono::milliseconds(3000);
    // Time for which the id of a removed instance is remembered. It is longer than requests that were sent before the removal are under
    // way.
    Duration removedIdLifetime = std::chrono::seconds(60);
};

// The instances that the platform lists, grouped by service. When the list was unreadable for a while, the platform may have removed live
// instances; removals are therefore held back until shortly after the list is readable again. Not thread safe.
class InstanceDirectory
{
public:
    InstanceDirectory(const InstanceDirectoryOptions &options, const Clock &clock);

    // Sets the services that requests may go to. An instance of another service never displaces the one at the same address. While no
    // service is set, all are known.
    void setServices(std::unordered_set<ServiceId> services);
    // Stores an entry of the list. Of two instances at one backend server address only the one with the higher list revision is used. The
    // other one is used again if that one is removed.
    void insertOrReplace(Instance instance);
    // Removes an entry, or holds the removal back during and shortly after an outage of the list. An unknown id is ignored.
    void remove(const std::string &id);
    // Stores the whole list and removes the instances that it lacks, like `remove`.
    void replaceAll(std::vector<Instance> instances);
    // Records that the list cannot be read. `lastReadTime` is the time of the last successful read.
    void onSourceLost(TimePoint lastReadTime);
    // Records that the list can be read again.
    void onSourceRestored();
    // Holds removals back for this time, at most for the hold time of the options: another node has noticed an outage of the list.
    void holdRemovals(Duration time);
    // Time for which removals are still held back; zero while the list is unreadable and removals are held back for that reason.
    Duration remainingHoldTime() const;
    // Removes the entries whose removal was held back and that were not listed again in time. Call every 100 ms.
    void tick();

    // Instances of a service, including draining ones. Valid until the directory changes.
    std::span<const Instance> instancesOf(const ServiceId &service) const;
    // Null if the id is unknown. Valid until the directory changes.
    const Instance *find(std::string_view id) const;
    // Instance whose backend server has the given address; null if there is none. Valid until the directory changes.
    const Instance *findByAddress(std::string_view address) const;
    // True if an instance with this id was listed and has been removed, and not been listed again since.
    bool wasRemoved(const std::string &id) const;
    // Addresses at which the nodes of all instances accept calls of other nodes.
    std::set<std::string> peerAddresses() const;
    // Number of instances.
    std::size_t size() const;
    std::vector<Instance> allInstances() const;
    // Increases with each change of an entry.
    std::uint64_t changeCount() const
    {
        return m_changeCount;
    }

private:
    // Inserts or replaces an entry under its id, without its address.
    void storeEntry(Instance instance);
    // Removes an entry at once.
    void erase(const std::string &id);
    // Removes an entry at once, and uses the newest one that it has displaced.
    void eraseAndRestore(const std::string &id);
    // Removes the address of an instance from the index, unless it belongs to another one by now.
    void forgetAddress(const Instance &instance);
    bool isKnownService(const ServiceId &service) const;
    // True while the list is unreadable and for the hold time afterwards.
    bool isHoldingRemovals() const;

    const InstanceDirectoryOptions m_options;
    const Clock &m_clock;
    std::map<ServiceId, std::vector<Instance>> m_instancesByService;
    std::unordered_map<std::string, ServiceId> m_serviceById;
    // Ids of the instances by backend server address.
    std::unordered_map<std::string, std::string> m_idByAddress;
    // Listed instances whose address belongs to a newer entry, by id.
    std::unordered_map<std::string, Instance> m_displaced;
    // Ids of the entries whose removal is held back.
    std::unordered_set<std::string> m_heldRemovals;
    // Ids of removed instances, with the time of the removal.
    std::unordered_map<std::string, TimePoint> m_removedAt;
    std::unordered_set<ServiceId> m_services;
    std::uint64_t m_changeCount = 0;
    bool m_sourceIsLost = false;
    TimePoint m_lastReadTime{};
    TimePoint m_holdUntil{};
};

} // namespace wisteriafork
