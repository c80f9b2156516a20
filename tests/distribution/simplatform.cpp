#include "distribution/simplatform.h"

#include "core/base/hashing.h"
#include "core/distribution/hostlistjson.h"
#include "core/distribution/valuekey.h"

#include <algorithm>

namespace wisteriafork {

namespace {
IndexEntry &entryOf(PublishedIndex &index, const ServiceId &service)
{
    const auto found
        = std::find_if(index.entries.begin(), index.entries.end(), [&](const IndexEntry &entry) { return entry.service == service; });
    return found != index.entries.end() ? *found : index.entries.emplace_back(IndexEntry{.service = service});
}
} // namespace

void SimPlatform::publishSlice(const ServiceId &service, const std::string &text, std::optional<std::uint64_t> wrongHash)
{
    IndexEntry &entry = entryOf(m_configuration, service);
    ++entry.version;
    entry.hash = wrongHash.value_or(hash64(text));
    publishRaw(formatKey({.family = ValueFamily::Configuration, .service = service}), entry.version, text);
    publishIndex(ValueFamily::Configuration);
}

void SimPlatform::publishList(HostList list)
{
    IndexEntry &entry = entryOf(m_hosts, list.service);
    entry.version = list.version = entry.version + 1;
    publishRaw(formatKey({.family = ValueFamily::Hosts, .service = list.service}), list.version, HostListJson::write(list));
    publishIndex(ValueFamily::Hosts);
}

void SimPlatform::hold(bool holding)
{
    m_holding = holding;
    if (!holding) {
        publishIndex(ValueFamily::Configuration);
        publishIndex(ValueFamily::Hosts);
    }
}

void SimPlatform::publishIndex(ValueFamily family)
{
    if (!m_holding) {
        PublishedIndex &index = family == ValueFamily::Configuration ? m_configuration : m_hosts;
        ++index.version;
        publishRaw(formatKey({.family = family, .service = {}}), index.version, IndexJson::write(family, index));
    }
}

void SimPlatform::publishRaw(const std::string &key, std::uint64_t version, const std::string &text)
{
    m_values[key] = {.version = version, .text = std::make_shared<const std::string>(text)};
}

void SimPlatform::setDown(bool down)
{
    m_down = down;
}

void SimPlatform::freeze()
{
    m_frozen = m_values;
}

void SimPlatform::thaw()
{
    m_frozen.reset();
}

void SimPlatform::restore(const Values &copy)
{
    m_values = copy;
    m_frozen.reset();
    m_configuration = *IndexJson::parse(ValueFamily::Configuration, *m_values.at("config/index").text);
    m_hosts = *IndexJson::parse(ValueFamily::Hosts, *m_values.at("hosts").text);
}

const SimPlatform::Values &SimPlatform::values() const
{
    return m_values;
}

const SimPlatform::Value *SimPlatform::read(const std::string &key) const
{
    const Values &served = m_frozen ? *m_frozen : m_values;
    const auto found = served.find(key);
    return m_down || found == served.end() ? nullptr : &found->second;
}

std::uint64_t SimPlatform::configurationVersion() const
{
    return m_configuration.version;
}

} // namespace wisteriafork
