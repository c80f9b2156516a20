#include "fleet/fleet.h"

#include "fleet/names.h"

#include <algorithm>
#include <charconv>

namespace wisteriafork::fleet {

namespace {

constexpr const char *Domains[] = {"north", "south"};
// The services in the order of their calls.
constexpr const char *Services[] = {"front", "middle", "back"};
constexpr std::size_t ServiceCount = std::size(Services);
// Time after which the entry of a backend server that has ended lapses.
constexpr Duration LapseTime = std::chrono::milliseconds(1000);
// Time for which a leaving instance is listed as such before it goes.
constexpr Duration DrainTime = std::chrono::milliseconds(2000);
// Time without an answer after which a node takes the list for unreadable.
constexpr Duration LostTime = std::chrono::milliseconds(1000);
constexpr Duration RestartTime = std::chrono::milliseconds(800);
constexpr double BurstFactor = 6.0;
// Callers that send the same poisoned request, one after the other.
constexpr unsigned PoisonCallers = 6;
constexpr Duration PoisonInterval = std::chrono::milliseconds(400);

RouteTable routesOf(std::uint64_t version)
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
            host.nodeStarted = [this](Host &started) {
                read(started);
            };
            host.snapshotReceived = [this](Host &reader, const std::string &snapshot) {
                std::uint64_t version = 0;
                std::from_chars(snapshot.data(), snapshot.data() + snapshot.size(), version);
                applyConfiguration(reader, version);
            };
            host.server().crashed = [this, &host] {
                stopServer(host, RestartTime);
            };
        }
    }
    std::vector<Host *> entries;
    for (unsigned index = 0; index < options.hostsPerService; ++index) {
        entries.push_back(m_hosts[index].get());
    }
    m_callers = std::make_unique<Callers>(m_time, m_random, m_history, options.callers, std::move(entries));
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
    m_time.run(std::chrono::seconds(1));
    m_faults = m_options.faults.empty() ? drawFaults() : m_options.faults;
    for (const Fault &fault : m_faults) {
        m_time.after(fault.start, [this, fault] { begin(fault); });
        m_time.after(fault.start + fault.duration, [this, fault] { end(fault); });
    }
    m_loadFrom = m_time.now();
    m_calmFrom = m_time.now() + m_options.calm + m_options.troubled;
    m_callers->start(m_options.calm + m_options.troubled + m_options.recovery);
    m_time.run(m_options.calm + m_options.troubled + m_options.recovery + m_options.silence);
}

std::vector<Fault> Fleet::drawFaults()
{
    std::vector<Fault> faults;
    const unsigned count = std::uniform_int_distribution<unsigned>(m_options.leastFaults, m_options.mostFaults)(m_random);
    const auto troubled = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.troubled);
    for (unsigned number = 0; number < count; ++number) {
        const auto duration = std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(500, 4000)(m_random));
        const auto latest = (troubled - duration).count();
        faults.push_back(
            {.kind = static_cast<FaultKind>(std::uniform_int_distribution<unsigned>(0, FaultKinds - 1)(m_random)),
             .start = m_options.calm + std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, latest)(m_random)),
             .duration = duration,
             .host = std::uniform_int_distribution<unsigned>(0, static_cast<unsigned>(m_hosts.size()) - 1)(m_random),
             .wholeService = std::bernoulli_distribution(0.5)(m_random)});
    }
    return faults;
}

void Fleet::begin(const Fault &fault)
{
    Host &host = *m_hosts[fault.host];
    switch (fault.kind) {
    case FaultKind::KillNode:
        if (host.isUp()) {
            m_callers->hostEnded(host);
            host.killNode();
        }
        break;
    case FaultKind::FreezeNode:
        if (host.isUp()) {
            m_callers->hostFroze(host);
            host.freezeNode(fault.duration);
        }
        break;
    case FaultKind::CrashServer:
        host.server().stop();
        stopServer(host, fault.duration);
        break;
    case FaultKind::IsolateHost:
        m_network.isolate(host, true);
        break;
    case FaultKind::SeparateDomain:
        m_network.separate(host.domain(), true);
        break;
    case FaultKind::SlowServer:
        setTrouble(fault, {.slowness = 6.0});
        break;
    case FaultKind::FailingServer:
        setTrouble(fault, {.failures = 0.8});
        break;
    case FaultKind::HangingServer:
        setTrouble(fault, {.hangs = 0.5});
        break;
    case FaultKind::LostAnswers:
        setTrouble(fault, {.lostAnswers = 0.6});
        break;
    case FaultKind::RefusingServer:
        setTrouble(fault, {.refusals = 0.7});
        break;
    case FaultKind::Burst:
        m_callers->setFactor(BurstFactor);
        break;
    case FaultKind::CutOffFromList:
        for (Host *struck : neighbours(fault.host)) {
            cutOff(*struck, true);
        }
        break;
    case FaultKind::ReplaceInstance:
        replaceInstance(host);
        break;
    case FaultKind::NewConfiguration:
        publishConfiguration();
        break;
    case FaultKind::PoisonedRequest: {
        const std::string target = PoisonPath + std::to_string(++m_poisons);
        for (unsigned caller = 0; caller < PoisonCallers; ++caller) {
            m_time.after(caller * PoisonInterval, [this, target] { m_callers->sendBooking(target); });
        }
        break;
    }
    }
}

void Fleet::end(const Fault &fault)
{
    Host &host = *m_hosts[fault.host];
    switch (fault.kind) {
    case FaultKind::KillNode:
        if (!host.isUp()) {
            host.startNode();
        }
        break;
    case FaultKind::IsolateHost:
        m_network.isolate(host, false);
        break;
    case FaultKind::SeparateDomain:
        m_network.separate(host.domain(), false);
        break;
    case FaultKind::SlowServer:
    case FaultKind::FailingServer:
    case FaultKind::HangingServer:
    case FaultKind::LostAnswers:
    case FaultKind::RefusingServer:
        setTrouble(fault, {});
        break;
    case FaultKind::Burst:
        m_callers->setFactor(1.0);
        break;
    case FaultKind::CutOffFromList:
        for (Host *struck : neighbours(fault.host)) {
            cutOff(*struck, false);
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

void Fleet::stopServer(Host &host, Duration downTime)
{
    const std::string ended = host.server().instance();
    m_time.after(LapseTime, [this, ended] {
        if (m_list.erase(ended) > 0) {
            publish([ended](Host &reader) { reader.node().removeInstance(ended); });
        }
    });
    m_time.after(downTime, [this, &host] {
        if (!host.server().isUp()) {
            startServer(host);
        }
    });
}

void Fleet::startServer(Host &host)
{
    const std::string id = host.service() + "-" + std::to_string(++m_listed);
    host.server().start(id);
    const Instance entry = host.entry(m_listed);
    m_list[id] = entry;
    publish([entry](Host &reader) { reader.node().putInstance(entry); });
}

void Fleet::replaceInstance(Host &host)
{
    const auto known = m_list.find(host.server().instance());
    if (!host.server().isUp() || known == m_list.end() || known->second.draining) {
        return;
    }
    const std::string id = known->first;
    known->second.draining = true;
    const Instance entry = known->second;
    publish([entry](Host &reader) { reader.node().putInstance(entry); });
    m_history.leftList[id] = m_time.now() + std::chrono::milliseconds(200);
    m_time.after(DrainTime, [this, &host, id] {
        if (host.server().instance() != id || !host.server().isUp()) {
            return;
        }
        host.server().stop();
        m_list.erase(id);
        publish([id](Host &reader) { reader.node().removeInstance(id); });
        startServer(host);
    });
}

void Fleet::cutOff(Host &host, bool cutOff)
{
    host.cutOff = cutOff;
    if (!host.isUp()) {
        return;
    }
    if (!cutOff) {
        host.node().onInstanceSourceRestored();
        read(host);
        return;
    }
    m_time.after(LostTime, [this, &host, lastAnswer = m_time.now()] {
        if (host.cutOff && host.isUp()) {
            host.node().onInstanceSourceLost("no answer", lastAnswer);
        }
    });
}

void Fleet::publishConfiguration()
{
    ++m_version;
    publish([this, version = m_version](Host &reader) { applyConfiguration(reader, version); });
}

void Fleet::publish(const std::function<void(Host &)> &change)
{
    for (const auto &host : m_hosts) {
        m_time.after(host->publishDelay, [&reader = *host, change] {
            if (reader.isUp() && !reader.cutOff) {
                reader.run(reader.incarnation(), [&reader, change] { change(reader); });
            }
        });
    }
}

void Fleet::read(Host &host)
{
    if (host.cutOff) {
        return;
    }
    m_time.after(host.publishDelay, [this, &host] {
        if (!host.isUp() || host.cutOff) {
            return;
        }
        host.run(host.incarnation(), [this, &host] {
            std::vector<Instance> listed;
            for (const auto &[id, instance] : m_list) {
                listed.push_back(instance);
            }
            host.node().replaceInstances(std::move(listed));
            applyConfiguration(host, m_version);
        });
    });
}

void Fleet::applyConfiguration(Host &host, std::uint64_t version)
{
    if (version > 0 && host.node().applyRoutes(routesOf(version))) {
        host.snapshot = std::to_string(version);
    }
}

// The host and the next ones, half of the fleet.
std::vector<Host *> Fleet::neighbours(unsigned host)
{
    std::vector<Host *> struck;
    for (std::size_t step = 0; step < m_hosts.size() / 2; ++step) {
        struck.push_back(m_hosts[(host + step) % m_hosts.size()].get());
    }
    return struck;
}

std::vector<BackendServer *> Fleet::serversOf(const Fault &fault)
{
    std::vector<BackendServer *> struck;
    for (const auto &host : m_hosts) {
        if (host == m_hosts[fault.host] || (fault.wholeService && host->service() == m_hosts[fault.host]->service())) {
            struck.push_back(&host->server());
        }
    }
    return struck;
}

void Fleet::setTrouble(const Fault &fault, const BackendTrouble &trouble)
{
    for (BackendServer *server : serversOf(fault)) {
        server->trouble = trouble;
    }
}

std::vector<std::string> Fleet::busyNodes() const
{
    std::vector<std::string> busy;
    for (const auto &host : m_hosts) {
        if (host->isUp() && host->node().openRequestCount() > 0) {
            busy.push_back(host->peerAddress());
        }
    }
    return busy;
}

std::vector<std::string> Fleet::staleNodes() const
{
    std::vector<std::string> stale;
    for (const auto &host : m_hosts) {
        if (host->isUp() && host->node().configurationVersion() != m_version) {
            stale.push_back(host->peerAddress());
        }
    }
    return stale;
}

} // namespace wisteriafork::fleet
