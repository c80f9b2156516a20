#include "distribution/simfleet.h"

#include <algorithm>
#include <utility>

// What is published, and the reads and watches of the nodes.

namespace wisteriafork {

namespace {
constexpr Duration ReadDelay = std::chrono::milliseconds(4);
} // namespace

void SimFleet::output(SimNode &node, DistributionOutput &output)
{
    std::visit([&](auto &item) { act(node, item); }, output);
}

void SimFleet::act(SimNode &node, SendDistributionMessage &send)
{
    transmit(node, send.address, std::move(send.message));
}

std::string SimFleet::readKind(const SimNode &node, const std::string &key)
{
    const std::size_t slash = key.rfind('/');
    std::string family = key.substr(0, slash);
    if (slash == std::string::npos || family == "config") {
        return family;
    }
    const ServiceId &own = node.info.service;
    const std::string part = key.substr(slash + 1) == own.value() ? " as member" : " as caller";
    return family + part + (node.membership->view(own).all.empty() ? ", own list unknown" : "");
}

void SimFleet::act(SimNode &node, const ReadValue &read)
{
    ++m_reads;
    ++readsOf[readKind(node, read.key)];
    schedule(ReadDelay, {.node = indexOf(node), .from = 0, .what = Read{.life = node.life, .key = read.key}});
}

void SimFleet::act(SimNode &node, const StartValueWatch &watch)
{
    ++m_reads;
    // Every published version is greater than 0, so the watch begins with a read of the present value, as in the daemon.
    node.watches[watch.key] = 0;
    const std::uint32_t index = indexOf(node);
    if (std::find(m_watchers.begin(), m_watchers.end(), index) == m_watchers.end()) {
        m_watchers.push_back(index);
    }
    checkWatches();
}

void SimFleet::act(SimNode &node, const StopValueWatch &stop)
{
    node.watches.erase(stop.key);
}

void SimFleet::act(SimNode &node, const HostListChanged &changed)
{
    node.membership->applyHostList(changed.list);
}

void SimFleet::act(SimNode &node, const HostListDropped &dropped)
{
    node.membership->dropService(dropped.service);
}

void SimFleet::act(SimNode &node, const HostsVersionReached &reached)
{
    node.membership->setHostsVersion(reached.version);
}

void SimFleet::act(SimNode &node, ValueHeldBack &held)
{
    node.heldBack.push_back(std::move(held));
}

void SimFleet::act(SimNode &node, const VersionConflict &conflict)
{
    node.conflicts.push_back(conflict);
}

void SimFleet::act(SimNode &node, ConfigurationChanged &changed)
{
    node.inForce = std::move(changed);
    node.changedAt = now();
}

void SimFleet::act(SimNode &node, const BecameReady & /*ready*/)
{
    node.readyAt = now();
    node.readyVersion = node.distribution->status().inForce.version;
}

void SimFleet::checkWatches()
{
    std::erase_if(m_watchers, [this](std::uint32_t index) { return m_nodes[index].watches.empty(); });
    for (const std::uint32_t index : m_watchers) {
        SimNode &node = m_nodes[index];
        for (auto &[key, after] : node.watches) {
            const SimPlatform::Value *value = m_platform.read(key);
            if (value != nullptr && value->version > after) {
                after = value->version;
                ++m_reads;
                schedule(ReadDelay, {.node = index, .from = 0, .what = Delivered{.life = node.life, .key = key, .text = value->text}});
            }
        }
    }
}

void SimFleet::publishSlice(std::size_t service, const std::string &extra)
{
    m_platform.publishSlice(serviceId(service), sliceText(service, extra));
    checkWatches();
}

void SimFleet::publishList(std::size_t service, const std::function<bool(const SimNode &)> &listed)
{
    HostList list{.service = serviceId(service), .version = 0, .members = {}};
    for (std::size_t i = 0; i < m_options.instances; ++i) {
        const SimNode &node = m_nodes[(service * m_options.instances) + i];
        if (listed(node)) {
            list.members.push_back(node.info);
        }
    }
    m_platform.publishList(std::move(list));
    checkWatches();
}

void SimFleet::publishLists()
{
    m_platform.hold(true);
    for (std::size_t service = 0; service < m_options.services; ++service) {
        publishList(service, [](const SimNode &) { return true; });
    }
    m_platform.hold(false);
    checkWatches();
}

std::string SimFleet::sliceText(std::size_t service, const std::string &extra) const
{
    std::string text = "slots=50;" + extra + ";";
    for (std::size_t i = 1; i <= m_options.calls; ++i) {
        // Steps that grow spread the calls over the fleet; a service calls only later ones.
        const std::size_t called = service + (i * i);
        if (called < m_options.services) {
            text += "call=" + serviceId(called).value() + ";";
        }
    }
    text.resize(std::max(text.size(), m_options.sliceBytes), ' ');
    return text;
}

bool SimFleet::admitRead()
{
    constexpr std::uint64_t MillisecondsPerSecond = 1000;
    if (m_readSecond != m_millisecond / MillisecondsPerSecond) {
        m_readSecond = m_millisecond / MillisecondsPerSecond;
        m_readsInSecond = 0;
    }
    const bool admitted = ++m_readsInSecond <= m_options.serviceReads;
    m_refusedReads += admitted ? 0 : 1;
    return admitted;
}

std::uint64_t SimFleet::refusedReads() const
{
    return m_refusedReads;
}

std::uint64_t SimFleet::reads() const
{
    return m_reads;
}

std::size_t SimFleet::watches() const
{
    std::size_t count = 0;
    for (const std::uint32_t index : m_watchers) {
        count += m_nodes[index].watches.size();
    }
    return count;
}

SimPlatform &SimFleet::platform()
{
    return m_platform;
}

} // namespace wisteriafork
