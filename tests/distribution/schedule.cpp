#include "distribution/schedule.h"

#include "core/base/hashing.h"
#include "core/distribution/valueindex.h"
#include "core/distribution/valuekey.h"

#include <algorithm>

namespace wisteriafork {

namespace {
using namespace std::chrono_literals;
constexpr Duration ConvergenceBound = 40s;
constexpr Duration UsualJitter = 2ms;
// Messages that come late, also to the next process on the same host.
constexpr Duration LateJitter = 800ms;

SimOptions optionsFor(std::size_t services, std::size_t instances, std::uint64_t seed, const MembershipMechanisms &membership,
                      const DistributionMechanisms &distribution)
{
    SimOptions options{.services = services, .instances = instances, .domains = 2, .calls = 1, .sliceBytes = 60, .seed = seed};
    options.membership.mechanisms = membership;
    options.distribution.mechanisms = distribution;
    options.distribution.blindReadWindow = 500ms;
    return options;
}
} // namespace

Schedule::Schedule(std::uint64_t seed, const MembershipMechanisms &membership, const DistributionMechanisms &distribution)
    : m_fleet(optionsFor(Services, Instances, seed, membership, distribution))
    , m_records(Services * Instances)
    , m_startsReady(seed % 2 == 0)
{
}

std::string Schedule::run(const std::vector<std::uint16_t> &script)
{
    m_fleet.observer = [this](SimNode &node) {
        check(node);
    };
    m_fleet.startAll();
    m_fleet.publishLists();
    recordPublication();
    m_fleet.run(3s);
    // Half of the schedules meet the fleet while it still starts; the others check what holds for ready nodes only.
    if (m_startsReady) {
        m_fleet.runUntil([this] { return isReadyEverywhere(); }, ConvergenceBound);
    }
    for (const std::uint16_t code : script) {
        if (m_violation.empty()) {
            step(code);
        }
    }
    if (m_violation.empty()) {
        finish();
    }
    return m_violation;
}

bool Schedule::isReadyEverywhere()
{
    return std::all_of(m_fleet.nodes().begin(), m_fleet.nodes().end(), [](const SimNode &n) { return n.distribution->isReady(); });
}

void Schedule::step(std::uint16_t code)
{
    constexpr unsigned Operations = 16;
    const std::size_t node = (code / Operations) % m_records.size();
    const unsigned kind = code / Operations / m_records.size();
    switch (code % Operations) {
    case 0:
    case 1:
        publish(node % (Services + 1), kind);
        break;
    case 2:
    case 3:
        restart(node);
        break;
    case 4:
        kill(node, kind % 2 == 0);
        break;
    case 5:
        disturb(node);
        m_fleet.pause(node);
        break;
    case 6:
        resume(node);
        break;
    case 7:
        partition(kind);
        break;
    case 8:
        m_partitioned = false;
        m_fleet.heal();
        break;
    case 9:
        m_fleet.setLoss(kind % 2 == 0 ? 0.1 : 0, kind % 3 == 0 ? 0.3 : 0);
        m_fleet.setJitter(kind % 5 == 0 ? LateJitter : UsualJitter);
        m_leaving.clear();
        m_wronglyDropped.reset();
        break;
    case 10:
        m_fleet.platform().setDown(kind % 2 == 0);
        break;
    case 11:
        kind % 2 == 0 ? m_fleet.platform().freeze() : m_fleet.platform().thaw();
        break;
    case 12:
        if (!m_copy || kind % 2 == 0) {
            m_copy = m_fleet.platform().values();
        } else {
            m_fleet.platform().restore(*m_copy);
        }
        break;
    case 13:
        announce(node);
        break;
    case 14:
        publishWrongList(node % Services, node);
        break;
    default:
        m_fleet.publishList(node % Services, [](const SimNode &n) { return n.alive; });
        m_wronglyDropped.reset();
        break;
    }
    for (std::size_t service = 0; service < Services; ++service) {
        const std::string key = formatKey({.family = ValueFamily::Hosts, .service = SimFleet::serviceId(service)});
        m_highestList = std::max(m_highestList, m_fleet.platform().values().at(key).version);
    }
    m_fleet.checkWatches();
    m_fleet.run(std::chrono::milliseconds(50 * (1 + (kind % 8))));
}

void Schedule::publish(std::size_t service, unsigned kind)
{
    const std::string mark = "mark=" + std::to_string(kind) + "." + std::to_string(m_published.size());
    const ServiceId id = service < Services ? SimFleet::serviceId(service) : ServiceId(std::string(CommonSlice));
    const std::string text = service < Services ? m_fleet.sliceText(service, (kind % 5 == 0 ? "INVALID" : "") + mark) : mark;
    const std::optional<std::uint64_t> wrongHash = kind % 7 == 0 ? std::optional<std::uint64_t>(kind + 1) : std::nullopt;
    if (wrongHash || text.find("INVALID") != std::string::npos) {
        m_badHashes.insert(wrongHash.value_or(hash64(text)));
    }
    m_fleet.platform().publishSlice(id, text, wrongHash);
    recordPublication();
    m_fleet.checkWatches();
}

void Schedule::recordPublication()
{
    const SimPlatform::Values &values = m_fleet.platform().values();
    const PublishedIndex index = *IndexJson::parse(ValueFamily::Configuration, *values.at("config/index").text);
    Published &published = m_published[ValueIndex::stampOf(index.version, index.entries)];
    for (const IndexEntry &entry : index.entries) {
        published.hashes[entry.service] = entry.hash;
    }
}

void Schedule::restart(std::size_t index)
{
    disturb(index);
    const SimNode &node = m_fleet.nodes()[index];
    Record &record = m_records[index];
    record = {};
    for (std::size_t i = 0; i < m_records.size(); ++i) {
        const SimNode &peer = m_fleet.nodes()[i];
        const bool asked = i != index && peer.alive && !peer.paused && m_fleet.connected(node, peer) && peer.service >= node.service;
        if (asked && peer.distribution->isReady() && canHave(node, peer.distribution->status().inForce)) {
            record.floors[i] = peer.distribution->status().inForce;
        }
    }
    m_fleet.start(index);
    record.life = node.life;
}

void Schedule::kill(std::size_t node, bool host)
{
    disturb(node);
    m_fleet.kill(node, host);
}

void Schedule::resume(std::size_t node)
{
    // Shorter pauses need not be noticed.
    const bool noticed = m_fleet.nodes()[node].paused && m_fleet.now() - m_fleet.nodes()[node].pausedAt > 1s;
    m_records[node].checkPause = noticed;
    m_fleet.resume(node);
    m_records[node].checkPause = false;
    if (noticed && m_fleet.nodes()[node].membership->isViewFresh()) {
        fail("view fresh directly after a pause", m_fleet.nodes()[node]);
    }
}

void Schedule::partition(unsigned kind)
{
    for (std::size_t i = 0; i < m_records.size(); ++i) {
        disturb(i);
    }
    m_partitioned = true;
    if (kind % 2 == 0) {
        m_fleet.partition([](const SimNode &node) { return node.info.domain.value().back() - '0'; });
    } else {
        m_fleet.partition([this, kind](const SimNode &node) { return static_cast<int>((kind >> (indexOf(node) % 6)) & 1U); });
    }
}

void Schedule::announce(std::size_t index)
{
    SimNode &node = m_fleet.nodes()[index];
    if (!node.alive || node.paused || !node.distribution->isReady() || m_leaving.contains(index)) {
        return;
    }
    node.membership->announceLeaving();
    Leaving &leaving = m_leaving[index];
    leaving.since = m_fleet.now();
    for (std::size_t i = 0; i < m_records.size(); ++i) {
        const SimNode &peer = m_fleet.nodes()[i];
        if (i != index && peer.alive && !peer.paused && peer.distribution->isReady() && m_fleet.connected(node, peer)) {
            leaving.hearers.insert(i);
        }
    }
}

void Schedule::publishWrongList(std::size_t service, std::size_t dropped)
{
    m_fleet.publishList(service, [&](const SimNode &node) { return indexOf(node) != dropped && node.alive; });
    m_wronglyDropped.reset();
    if (m_fleet.nodes()[dropped].alive && m_fleet.nodes()[dropped].service == service && !m_partitioned) {
        m_wronglyDropped = {dropped, m_fleet.now()};
    }
}

// The node was cut off, paused or ended: what others were to hear from it, or it from others, is not expected any more.
void Schedule::disturb(std::size_t node)
{
    for (Record &record : m_records) {
        record.floors.erase(node);
    }
    m_records[node].floors.clear();
    m_leaving.erase(node);
    for (auto &[index, leaving] : m_leaving) {
        leaving.hearers.erase(node);
    }
    m_wronglyDropped.reset();
}

void Schedule::finish()
{
    endFaults();
    if (!m_fleet.runUntil([this] { return isSettled() || !m_violation.empty(); }, ConvergenceBound) && m_violation.empty()) {
        const auto bad = std::find_if(m_fleet.nodes().begin(), m_fleet.nodes().end(), [](const SimNode &node) {
            return !node.distribution->isReady() || node.distribution->status().known.version == 0;
        });
        fail("views do not converge after all faults ended", bad != m_fleet.nodes().end() ? *bad : m_fleet.nodes().front());
    }
}

void Schedule::endFaults()
{
    m_fleet.heal();
    m_fleet.setLoss(0, 0);
    m_fleet.setJitter(UsualJitter);
    m_fleet.platform().setDown(false);
    m_fleet.platform().thaw();
    m_leaving.clear();
    m_wronglyDropped.reset();
    std::uint64_t highest = 0;
    std::uint64_t highestHosts = 0;
    for (std::size_t i = 0; i < m_records.size(); ++i) {
        m_fleet.resume(i);
        if (!m_fleet.nodes()[i].alive) {
            restart(i);
            continue;
        }
        const DistributionStatus status = m_fleet.nodes()[i].distribution->status();
        highest = std::max(highest, status.known.version);
        highestHosts = std::max(highestHosts, status.hosts.version);
    }
    // A service that was restored from an old copy publishes until its versions are the highest again.
    do {
        for (std::size_t service = 0; service < Services; ++service) {
            m_fleet.platform().publishSlice(SimFleet::serviceId(service), m_fleet.sliceText(service, "final"));
        }
        m_fleet.platform().publishSlice(ServiceId(std::string(CommonSlice)), "final");
        recordPublication();
    } while (m_fleet.platform().configurationVersion() <= highest);
    std::uint64_t rounds = 0;
    do {
        for (std::size_t service = 0; service < Services; ++service) {
            m_fleet.publishList(service, [](const SimNode &) { return true; });
        }
    } while (++rounds <= m_highestList || m_fleet.platform().values().at("hosts").version <= highestHosts + Services);
}

bool Schedule::isSettled()
{
    const std::uint64_t version = m_fleet.platform().configurationVersion();
    return std::all_of(m_fleet.nodes().begin(), m_fleet.nodes().end(), [&](const SimNode &node) {
        if (!node.distribution->isReady() || node.distribution->inForce().version != version || !node.membership->isViewFresh()) {
            return false;
        }
        const auto all = node.membership->view(node.info.service).all;
        return std::all_of(all.begin(), all.end(), [](const Candidate &candidate) { return !candidate.suspected && candidate.listed; });
    });
}

std::size_t Schedule::indexOf(const SimNode &node)
{
    return static_cast<std::size_t>(&node - m_fleet.nodes().data());
}

} // namespace wisteriafork
