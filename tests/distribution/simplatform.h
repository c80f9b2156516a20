#pragma once

#include "core/base/hostlist.h"
#include "core/distribution/indexjson.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wisteriafork {

// Stand-in for the configuration service in virtual time: published values, and the faults that it may have.
class SimPlatform
{
public:
    struct Value
    {
        std::uint64_t version = 0;
        std::shared_ptr<const std::string> text;
    };
    using Values = std::map<std::string, Value>;

    // Publishes a slice and the index that names it. A wrong hash may be put into the index.
    void publishSlice(const ServiceId &service, const std::string &text, std::optional<std::uint64_t> wrongHash = std::nullopt);
    void publishList(HostList list);
    // Publishes the indexes once for all slices and lists put since; used to set up large fleets.
    void hold(bool holding);
    // Publishes any text under a key.
    void publishRaw(const std::string &key, std::uint64_t version, const std::string &text);

    void setDown(bool down);
    // Serves the values of this moment from now on.
    void freeze();
    // Serves the newest values again.
    void thaw();
    // Forgets what was published since the copy, as a service that is restored from it; publishing goes on from there.
    void restore(const Values &copy);
    const Values &values() const;
    // What a read gives; null if the service is down or has no such value.
    const Value *read(const std::string &key) const;
    std::uint64_t configurationVersion() const;

private:
    void publishIndex(ValueFamily family);

    Values m_values;
    std::optional<Values> m_frozen;
    PublishedIndex m_configuration;
    PublishedIndex m_hosts;
    bool m_down = false;
    bool m_holding = false;
};

} // namespace wisteriafork
