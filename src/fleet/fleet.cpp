#include "fleet/fleet.h"

#include "fleet/wirenames.h"

#include <algorithm>
#include <charconv>

namespace wisteriafork::fleet {

namespace {

constexpr const char *Domains[] = {"north", "south"};
// The services; each one calls the next.
constexpr const char *Services[] = {"front", "middle", "back"};
constexpr std::size_t ServiceCount = std::size(Services);
// Time after which the registration of a crashed backend server expires.
constexpr Duration RegistrationTimeToLive = std::chrono::milliseconds(1000);
// Time for which an instance is published as draining before it stops.
constexpr Duration DrainDuration = std::chrono::milliseconds(2000);
// Time without a response after which a node reports that it cannot read the published instances.
constexpr Duration SourceLossTimeout = std::chrono::milliseconds(1000);
constexpr Duration RestartDelay = std::chrono::milliseconds(800);
constexpr double BurstLoadFactor = 6.0;
// Number of callers that send the same crashing request, and the interval between them.
constexpr unsigned CrashingRequestCallers = 6;
constexpr Duration CrashingRequestInterval = std::chrono::milliseconds(400);

RouteTable routesOfVersion(std::uint64_t version)
{
    std::vector<Route> routes;
    for (const char *service : Services) {
        for (const bool idempotent : {true, false}) {
            routes.push_back({.name = std::string(service) + (idempotent ? "-read" : "-book"),
                              .host = service,
                              .prefix = idempotent ? ReadPath : BookPath,
                              .kind = idempotent ? RequestKind::Idempotent : RequestKind::NonIdempotent,
                              .services = {{.service = ServiceId(service)}},
                              .timeout = std::chrono::milliseconds(1500),
                              .targetLatency = std::chrono::milliseconds(400),
                              .maxAttempts = 3,
                              .priority = idempotent ? 1U : 0U});
        }
    }
    return {version, std::move(routes)};
}

} // namespace

Fleet::Fleet(const FleetOptions &options, std::ostream &logText) : m_options(options), m_random(options.seed), m_network(m_time)
{
    for (std::size_t service = 0; service < ServiceCount; ++service) {
        for (unsigned index = 0; index < options.hostsPerService; ++index) {
            const auto number = static_cast<unsigned>(m_hosts.size());
            const std::string callee = service + 1 < ServiceCount ? Services[service + 1] : "";
            m_hosts.push_back(std::make_unique<Host>(m_time, m_network, m_random, m_history,
                                                     HostOptions{.number = number,
                                                                 .domain = DomainId(Domains[index % std::size(Domains)]),
                                                                 .server = {.service = Services[service], .callee = callee},
                                                                 .seed = options.seed * 1000 + number},
                                                     logText));
            Host &host = *m_hosts.back();
            host.publishDelay = std::chrono::milliseconds(std::uniform_int_distribution<int>(20, 200)(m_random));
            host.onNodeStarted = [this](Host &started) {
                readPublishedState(started);
            };
            host.onSnapshotReceived = [this](Host &reader, const std::string &snapshot) {
                std::uint64_t version = 0;
                std::from_chars(snapshot.data(), snapshot.data() + snapshot.size(), version);
                applyConfiguration(reader, version);
            };
            host.server().onCrash = [this, &host] {
                scheduleServerRestart(host, RestartDelay);
            };
        }
    }
    std::vector<Host *> entryHosts;
    for (unsigned index = 0; index < options.hostsPerService; ++index) {
        entryHosts.push_back(m_hosts[index].get());
    }
    m_callers = std::make_unique<Callers>(m_time, m_random, m_history, options.callers, std::move(entryHosts));
}

Fleet::~Fleet()
{
    m_network.close();
}

void Fleet::run()
{
    for (const auto &host : m_hosts) {
        startServer(*host);
    }
    for (const auto &host : m_hosts) {
        host->startNode();
    }
    m_time.runFor(std::chrono::seconds(1));
    m_faults = m_options.faults.empty() ? drawFaults() : m_options.faults;
    for (const Fault &fault : m_faults) {
        m_time.scheduleAfter(fault.start, [this, fault] { startFault(fault); });
        m_time.scheduleAfter(fault.start + fault.duration, [this, fault] { endFault(fault); });
    }
    m_loadStart = m_time.now();
    m_recoveryStart = m_time.now() + m_options.baselinePhase + m_options.faultPhase;
    m_callers->start(m_options.baselinePhase + m_options.faultPhase + m_options.recoveryPhase);
    m_time.runFor(m_options.baselinePhase + m_options.faultPhase + m_options.recoveryPhase + m_options.idlePhase);
}

std::vector<Fault> Fleet::drawFaults()
{
    std::vector<Fault> faults;
    const unsigned count = std::uniform_int_distribution<unsigned>(m_options.minFaults, m_options.maxFaults)(m_random);
    const auto faultPhase = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.faultPhase);
    for (unsigned number = 0; number < count; ++number) {
        const auto duration = std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(500, 4000)(m_random));
        const auto latest = (faultPhase - duration).count();
        faults.push_back(
            {.kind = static_cast<FaultKind>(std::uniform_int_distribution<unsigned>(0, FaultKindCount - 1)(m_random)),
             .start = m_options.baselinePhase + std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, latest)(m_random)),
             .duration = duration,
             .host = std::uniform_int_distribution<unsigned>(0, static_cast<unsigned>(m_hosts.size()) - 1)(m_random),
             .wholeService = std::bernoulli_distribution(0.5)(m_random)});
    }
    return faults;
}

void Fleet::startFault(const Fault &fault)
{
    Host &host = *m_hosts[fault.host];
    switch (fault.kind) {
    case FaultKind::KillNode:
        if (host.isNodeRunning()) {
            m_callers->onNodeStopped(host);
            host.killNode();
        }
        break;
    case FaultKind::FreezeNode:
        if (host.isNodeRunning()) {
            m_callers->onNodeFrozen(host);
            host.freezeNode(fault.duration);
        }
        break;
    case FaultKind::CrashServer:
        host.server().stop();
        scheduleServerRestart(host, fault.duration);
        break;
    case FaultKind::IsolateHost:
        m_network.setHostIsolated(host, true);
        break;
    case FaultKind::SeparateDomain:
        m_network.setDomainSeparated(host.domain(), true);
        break;
    case FaultKind::SlowServer:
        setServerFaults(fault, {.slowdownFactor = 6.0});
        break;
    case FaultKind::FailingServer:
        setServerFaults(fault, {.failureShare = 0.8});
        break;
    case FaultKind::HangingServer:
        setServerFaults(fault, {.hangShare = 0.5});
        break;
    case FaultKind::LostAnswers:
        setServerFaults(fault, {.lostAnswerShare = 0.6});
        break;
    case FaultKind::RefusingServer:
        setServerFaults(fault, {.refusalShare = 0.7});
        break;
    case FaultKind::Burst:
        m_callers->setLoadFactor(BurstLoadFactor);
        break;
    case FaultKind::CutOffFromList:
        for (Host *affected : halfOfFleet(fault.host)) {
            setCutOff(*affected, true);
        }
        break;
    case FaultKind::ReplaceInstance:
        replaceInstance(host);
        break;
    case FaultKind::NewConfiguration:
        publishConfiguration();
        break;
    case FaultKind::PoisonedRequest: {
        const std::string target = CrashingPath + std::to_string(++m_crashingRequests);
        for (unsigned caller = 0; caller < CrashingRequestCallers; ++caller) {
            m_time.scheduleAfter(caller * CrashingRequestInterval, [this, target] { m_callers->sendBooking(target); });
        }
        break;
    }
    }
}

void Fleet::endFault(const Fault &fault)
{
    Host &host = *m_hosts[fault.host];
    switch (fault.kind) {
    case FaultKind::KillNode:
        if (!host.isNodeRunning()) {
            host.startNode();
        }
        break;
    case FaultKind::IsolateHost:
        m_network.setHostIsolated(host, false);
        break;
    case FaultKind::SeparateDomain:
        m_network.setDomainSeparated(host.domain(), false);
        break;
    case FaultKind::SlowServer:
    case FaultKind::FailingServer:
    case FaultKind::HangingServer:
    case FaultKind::LostAnswers:
    case FaultKind::RefusingServer:
        setServerFaults(fault, {});
        break;
    case FaultKind::Burst:
        m_callers->setLoadFactor(1.0);
        break;
    case FaultKind::CutOffFromList:
        for (Host *affected : halfOfFleet(fault.host)) {
            setCutOff(*affected, false);
        }
        break;
    case FaultKind::FreezeNode:
    case FaultKind::CrashServer:
    case FaultKind::ReplaceInstance:
    case FaultKind::NewConfiguration:
    case FaultKind::PoisonedRequest:
        break;
    }
}

void Fleet::scheduleServerRestart(Host &host, Duration downTime)
{
    const std::string stoppedInstance = host.server().instance();
    m_time.scheduleAfter(RegistrationTimeToLive, [this, stoppedInstance] {
        if (m_publishedInstances.erase(stoppedInstance) > 0) {
            publishToNodes([stoppedInstance](Host &reader) { reader.node().removeInstance(stoppedInstance); });
        }
    });
    m_time.scheduleAfter(downTime, [this, &host] {
        if (!host.server().isRunning()) {
            startServer(host);
        }
    });
}

void Fleet::startServer(Host &host)
{
    const std::string id = host.service() + "-" + std::to_string(++m_lastRegistration);
    host.server().start(id);
    const Instance entry = host.listEntry(m_lastRegistration);
    m_publishedInstances[id] = entry;
    publishToNodes([entry](Host &reader) { reader.node().putInstance(entry); });
}

void Fleet::replaceInstance(Host &host)
{
    const auto known = m_publishedInstances.find(host.server().instance());
    if (!host.server().isRunning() || known == m_publishedInstances.end() || known->second.draining) {
        return;
    }
    const std::string id = known->first;
    known->second.draining = true;
    const Instance entry = known->second;
    publishToNodes([entry](Host &reader) { reader.node().putInstance(entry); });
    // 200 ms is the longest publication delay of a host.
    m_history.drainKnownAt[id] = m_time.now() + std::chrono::milliseconds(200);
    m_time.scheduleAfter(DrainDuration, [this, &host, id] {
        if (host.server().instance() != id || !host.server().isRunning()) {
            return;
        }
        host.server().stop();
        m_publishedInstances.erase(id);
        publishToNodes([id](Host &reader) { reader.node().removeInstance(id); });
        startServer(host);
    });
}

void Fleet::setCutOff(Host &host, bool cutOff)
{
    host.isCutOff = cutOff;
    if (!host.isNodeRunning()) {
        return;
    }
    if (!cutOff) {
        host.node().onInstanceSourceRestored();
        readPublishedState(host);
        return;
    }
    m_time.scheduleAfter(SourceLossTimeout, [this, &host, lastAnswer = m_time.now()] {
        if (host.isCutOff && host.isNodeRunning()) {
            host.node().onInstanceSourceLost("no answer", lastAnswer);
        }
    });
}

void Fleet::publishConfiguration()
{
    ++m_configurationVersion;
    publishToNodes([this, version = m_configurationVersion](Host &reader) { applyConfiguration(reader, version); });
}

void Fleet::publishToNodes(const std::function<void(Host &)> &change)
{
    for (const auto &host : m_hosts) {
        m_time.scheduleAfter(host->publishDelay, [&reader = *host, change] {
            if (reader.isNodeRunning() && !reader.isCutOff) {
                reader.runInProcess(reader.incarnation(), [&reader, change] { change(reader); });
            }
        });
    }
}

void Fleet::readPublishedState(Host &host)
{
    if (host.isCutOff) {
        return;
    }
    m_time.scheduleAfter(host.publishDelay, [this, &host] {
        if (!host.isNodeRunning() || host.isCutOff) {
            return;
        }
        host.runInProcess(host.incarnation(), [this, &host] {
            std::vector<Instance> listed;
            for (const auto &[id, instance] : m_publishedInstances) {
                listed.push_back(instance);
            }
            host.node().replaceInstances(std::move(listed));
            applyConfiguration(host, m_configurationVersion);
        });
    });
}

void Fleet::applyConfiguration(Host &host, std::uint64_t version)
{
    if (version > 0 && host.node().applyRoutes(routesOfVersion(version))) {
        host.snapshot = std::to_string(version);
    }
}

std::vector<Host *> Fleet::halfOfFleet(unsigned firstHost)
{
    std::vector<Host *> affected;
    for (std::size_t step = 0; step < m_hosts.size() / 2; ++step) {
        affected.push_back(m_hosts[(firstHost + step) % m_hosts.size()].get());
    }
    return affected;
}

std::vector<BackendServer *> Fleet::affectedServers(const Fault &fault)
{
    std::vector<BackendServer *> affected;
    for (const auto &host : m_hosts) {
        if (host == m_hosts[fault.host] || (fault.wholeService && host->service() == m_hosts[fault.host]->service())) {
            affected.push_back(&host->server());
        }
    }
    return affected;
}

void Fleet::setServerFaults(const Fault &fault, const BackendServerFaults &serverFaults)
{
    for (BackendServer *server : affectedServers(fault)) {
        server->faults = serverFaults;
    }
}

std::vector<std::string> Fleet::nodesWithOpenRequests() const
{
    std::vector<std::string> busy;
    for (const auto &host : m_hosts) {
        if (host->isNodeRunning() && host->node().openRequestCount() > 0) {
            busy.push_back(host->peerAddress());
        }
    }
    return busy;
}

std::vector<std::string> Fleet::nodesWithOldConfiguration() const
{
    std::vector<std::string> stale;
    for (const auto &host : m_hosts) {
        if (host->isNodeRunning() && host->node().configurationVersion() != m_configurationVersion) {
            stale.push_back(host->peerAddress());
        }
    }
    return stale;
}

} // namespace wisteriafork::fleet
