#include "core/base/hashing.h"
#include "core/distribution/valuekey.h"
#include "distribution/schedule.h"

#include <algorithm>

// The rules that every node has to follow, checked after each of its events.

namespace wisteriafork {

namespace {
using namespace std::chrono_literals;
constexpr Duration LeavingBound = 3s;
// Direct evidence of a dropped member is renewed by probes and digests; a pause, a cut or a loss ends the expectation.
constexpr Duration WrongListSettle = 1s;
constexpr Duration WrongListWatch = 6s;
} // namespace

void Schedule::check(SimNode &node)
{
    if (!m_violation.empty()) {
        return;
    }
    Record &record = m_records[indexOf(node)];
    const VersionStamp inForce = node.distribution->inForce();
    if (record.life == node.life && inForce < record.inForce) {
        fail("version in force went back", node);
    }
    if (record.life != node.life) {
        record.life = node.life;
        record.wasReady = false;
        record.incarnations.clear();
    }
    if (inForce != record.inForce) {
        checkContent(node);
    }
    record.inForce = inForce;
    checkReady(node, record);
    checkMembers(node, record);
    checkLeaving(node);
    checkWrongList(node);
}

std::set<ServiceId> Schedule::neededBy(const SimNode &node)
{
    std::set<ServiceId> needed{ServiceId(std::string(CommonSlice)), node.info.service};
    if (node.service + 1 < Services) {
        needed.insert(SimFleet::serviceId(node.service + 1));
    }
    return needed;
}

// A version with an invalid slice comes in force at the nodes that do not need this slice, and is held back at the others.
bool Schedule::canHave(const SimNode &node, const VersionStamp &stamp)
{
    const auto published = m_published.find(stamp);
    const std::set<ServiceId> needed = neededBy(node);
    return published == m_published.end() || std::none_of(needed.begin(), needed.end(), [&](const ServiceId &service) {
               return m_badHashes.contains(published->second.hashes.at(service));
           });
}

void Schedule::checkContent(const SimNode &node)
{
    const auto published = m_published.find(node.inForce.stamp);
    if (published == m_published.end()) {
        fail("a version that was never published is in force", node);
        return;
    }
    for (const ServiceId &service : neededBy(node)) {
        const auto slice
            = std::find_if(node.inForce.slices.begin(), node.inForce.slices.end(), [&](const auto &item) { return item.first == service; });
        if (slice == node.inForce.slices.end()) {
            fail("a needed slice is missing in the version in force", node);
        } else if (hash64(*slice->second) != published->second.hashes.at(service)) {
            fail("a slice in force does not have the content of its version", node);
        } else if (slice->second->find("INVALID") != std::string::npos) {
            fail("an invalid slice is in force", node);
        }
    }
}

void Schedule::checkReady(const SimNode &node, Record &record)
{
    if (!node.distribution->isReady() || record.wasReady) {
        return;
    }
    record.wasReady = true;
    for (const auto &[peer, floor] : record.floors) {
        if (record.inForce < floor) {
            fail("ready with an older version than node " + std::to_string(peer) + " has had in force", node);
        }
    }
}

void Schedule::checkMembers(const SimNode &node, Record &record)
{
    record.incarnations.resize(m_records.size());
    for (std::size_t i = 0; i < m_records.size(); ++i) {
        const SimNode &other = m_fleet.nodes()[i];
        const Incarnation known = node.membership->incarnation(other.info.name);
        Incarnation &highest = record.incarnations[i];
        if (known < highest && known != 0) {
            fail("an old incarnation of " + other.info.name.value() + " replaced a newer one", node);
        }
        highest = std::max(highest, known);
    }
}

void Schedule::checkLeaving(const SimNode &node)
{
    for (const auto &[index, leaving] : m_leaving) {
        if (m_fleet.now() - leaving.since <= LeavingBound || !leaving.hearers.contains(indexOf(node))) {
            continue;
        }
        const SimNode &subject = m_fleet.nodes()[index];
        for (const Candidate &candidate : node.membership->view(subject.info.service).all) {
            if (candidate.name == subject.info.name && candidate.usable()) {
                fail("a leaving member is still used after 3 s", node);
            }
        }
    }
}

void Schedule::checkWrongList(const SimNode &node)
{
    if (!m_wronglyDropped || indexOf(node) == m_wronglyDropped->first) {
        return;
    }
    const SimNode &dropped = m_fleet.nodes()[m_wronglyDropped->first];
    const Duration age = m_fleet.now() - m_wronglyDropped->second;
    if (age < WrongListSettle || age > WrongListWatch || node.info.service != dropped.info.service || dropped.paused
        || !node.membership->isViewFresh() || !dropped.distribution->isReady()) {
        return;
    }
    if (node.membership->state(dropped.info.name) == MemberState::Gone) {
        fail("a member that answers counts as gone because of a list", node);
    }
}

void Schedule::fail(const std::string &what, const SimNode &node)
{
    if (m_violation.empty()) {
        m_violation = what + " (node " + node.info.name.value() + ", " + std::to_string((m_fleet.now() - TimePoint(24h)) / 1ms) + " ms)";
    }
}

} // namespace wisteriafork
