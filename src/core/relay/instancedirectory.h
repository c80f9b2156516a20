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
    // Time after the list is readable again for which entries that lapsed meanwhile are kept. Live instances are listed again within about
    // two seconds of that moment.
    Duration removalHoldTime = std::chrono::milliseconds(2300);
    // Shortest time without an answer in which entries of live instances may lapse: two of the three missed heartbeats after which the
    // platform drops an entry, since the first one may be missed by chance. 1.5 s is the platform's usual heartbeat.
    Duration outageBeforeExpiry = std::chrono::milliseconds(3000);
};

// The instances that the platform lists, by service. Entries that vanish while the list cannot be read are kept for a short time after its
// return, because the platform then drops instances that are alive. Not thread safe.
class InstanceDirectory
{
public:
    InstanceDirectory(const InstanceDirectoryOptions &options, const Clock &clock);

    // An entry was read.
    void insertOrReplace(Instance instance);
    // An entry was removed.
    void remove(const std::string &id);
    // The whole list was read.
    void replaceAll(std::vector<Instance> instances);
    // The list cannot be read at present; the last answer came at `lastAnswer`.
    void onSourceLost(TimePoint lastAnswer);
    // The list can be read again.
    void onSourceRestored();
    // Drops entries that were kept and have not come back. Call every 100 ms.
    void tick();

    // Listed instances of a service, also those that drain.
    std::span<const Instance> instancesOf(const ServiceId &service) const;
    const Instance *find(std::string_view id) const;
    // Instance at the given backend server address. Of several entries the latest counts: an address is used again.
    const Instance *findByAddress(std::string_view address) const;
    // Addresses of the nodes beside all listed instances.
    std::set<std::string> peerAddresses() const;
    std::size_t size() const;
    std::vector<Instance> allInstances() const;

private:
    void erase(const std::string &id);
    bool holdsRemovals() const;

    const InstanceDirectoryOptions m_options;
    const Clock &m_clock;
    std::map<ServiceId, std::vector<Instance>> m_services;
    std::unordered_map<std::string, ServiceId> m_serviceOf;
    // Id of the instance at each address.
    std::unordered_map<std::string, std::string> m_atAddress;
    // Removed entries that are kept until the hold time ends.
    std::unordered_set<std::string> m_held;
    bool m_lost = false;
    TimePoint m_lastAnswer{};
    TimePoint m_holdUntil{};
};

} // namespace wisteriafork
