#include "invariants/simfleet.h"

#include "core/config/slices.h"
#include "invariants/timing.h"
#include "node/fleet.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wisteriafork::test {

namespace {

constexpr std::array<const char *, 3> Services{"front", "books", "store"};
// Longest time of a late message.
constexpr int LateMs = 400;

ServiceConfiguration serviceOf(const std::string &name, const std::vector<ServiceId> &calls)
{
    ServiceConfiguration service{.id = ServiceId(name), .pathPrefix = "/" + name + "/", .slots = 3, .connections = 30};
    const auto prefix = service.pathPrefix;
    service.operations.push_back(
        {.id = OperationId("read"), .method = "GET", .pathPrefix = prefix, .callClass = CallClass::Read, .callerWait = ms(CallerWaitMs)});
    service.operations.push_back({.id = OperationId("book"),
                                  .method = "POST",
                                  .pathPrefix = prefix,
                                  .callClass = CallClass::Critical,
                                  .idempotent = false,
                                  .callerWait = ms(CallerWaitMs),
                                  .resendTime = ms(ResendMs)});
    for (OperationConfiguration &operation : service.operations) {
        operation.calls = calls;
    }
    return service;
}

} // namespace

SimFleet::SimFleet(const Schedule &schedule, std::function<void(NodeOptions &)> adjust)
    : m_schedule(schedule), m_adjust(std::move(adjust)), m_random(schedule.seed)
{
    addHosts("front", schedule.others);
    addHosts("books", schedule.books);
    addHosts("store", schedule.others);
    publishConfiguration();
    for (const std::unique_ptr<SimHost> &host : m_hosts) {
        host->start();
    }
    for (const char *service : Services) {
        publishList(service);
    }
    NodeOptions options;
    m_attempts = options.retries.attemptsPerRequest;
}

void SimFleet::addHosts(const std::string &service, int count)
{
    for (MemberInfo member : testMembers(service, count)) {
        member.incarnation = 0;
        const Duration offset = ms(draw(5000));
        m_hosts.push_back(std::make_unique<SimHost>(*this, m_hosts.size(), member, offset));
    }
}

void SimFleet::publishConfiguration()
{
    m_configuration.name = "test";
    m_configuration.domains = {DomainId("north"), DomainId("south"), DomainId("west")};
    m_configuration.tenants = {{.id = TenantId("default")}};
    m_configuration.bounds = {.pauseBound = ms(PauseBoundMs), .hostListLag = ms(ListLagMs), .isolationBound = std::chrono::hours(2)};
    m_configuration.services = {serviceOf("front", {ServiceId("books")}), serviceOf("books", {ServiceId("store")}), serviceOf("store", {})};
    m_platform.hold(true);
    m_platform.publishSlice(ServiceId(std::string(CommonSliceName)), printCommonSlice(commonSlice(m_configuration)));
    for (const ServiceConfiguration &service : m_configuration.services) {
        m_platform.publishSlice(service.id, printServiceSlice(service));
    }
    m_platform.hold(false);
}

void SimFleet::publishList(const std::string &service)
{
    HostList list{.service = ServiceId(service)};
    for (const std::unique_ptr<SimHost> &host : m_hosts) {
        if (host->info().service.value() == service && host->up()) {
            list.members.push_back(host->info());
            list.members.back().state = host->draining() ? ListedState::Leaving : ListedState::Live;
        }
    }
    m_platform.publishList(list);
}

NodeOptions SimFleet::nodeOptions(const MemberInfo &self) const
{
    NodeOptions options{.self = self, .seed = m_schedule.seed + self.incarnation};
    for (const char *service : Services) {
        options.distribution.required.emplace_back(service);
    }
    for (const std::unique_ptr<SimHost> &host : m_hosts) {
        options.membership.seeds.push_back(host->info().peerAddress);
    }
    options.distribution.blindReadWindow = ms(200);
    options.distribution.readBurst = 16;
    options.admission.queueLimit = QueueLimit;
    if (m_adjust) {
        m_adjust(options);
    }
    return options;
}

void SimFleet::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        const auto next = m_queue.begin();
        m_now = std::max(m_now, next->first);
        const std::function<void()> action = std::move(next->second);
        m_queue.erase(next);
        action();
    }
    m_now = end;
}

TimePoint SimFleet::now() const
{
    return m_now;
}

void SimFleet::after(Duration delay, std::function<void()> action)
{
    m_queue.emplace(m_now + delay, std::move(action));
}

int SimFleet::draw(int bound)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound));
}

bool SimFleet::chance(int perMille)
{
    return draw(1000) < perMille;
}

Duration SimFleet::linkDelay()
{
    return chance(m_schedule.late) ? ms(draw(LateMs)) : std::chrono::microseconds(500 + draw(2000));
}

Judge &SimFleet::judge()
{
    return m_judge;
}

const Schedule &SimFleet::schedule() const
{
    return m_schedule;
}

std::string SimFleet::verdict() const
{
    return m_judge.verdict(m_attempts);
}

SimHost *SimFleet::find(const std::string &address)
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto &host) { return host->info().peerAddress == address; });
    return found == m_hosts.end() ? nullptr : found->get();
}

SimHost *SimFleet::find(const NodeId &name)
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto &host) { return host->info().name == name; });
    return found == m_hosts.end() ? nullptr : found->get();
}

bool SimFleet::connected(const SimHost &first, const SimHost &second) const
{
    return !m_cuts.contains({&first, &second});
}

void SimFleet::sendMessage(const SimHost &from, const SendPeerMessage &action)
{
    SimHost *sender = find(from.info().name);
    SimHost *target = find(action.address);
    if (target == nullptr || !target->up() || !connected(from, *target)) {
        const NodeId to = target == nullptr ? action.to : target->info().name;
        after(ms(1), [sender, to, life = from.life()] {
            if (sender->life() == life) {
                sender->handle(PeerUnreachable{.peer = to});
            }
        });
        return;
    }
    if (chance(m_schedule.loss)) {
        return;
    }
    const int copies = chance(m_schedule.duplicates) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        after(linkDelay(), [this, sender, target, name = from.info().name, message = action.message] {
            if (connected(*sender, *target)) {
                target->handle(PeerMessageReceived{.from = name, .message = message});
            }
        });
    }
}

std::optional<SimPlatform::Value> SimFleet::readPlatform(std::size_t host, const std::string &key) const
{
    const SimPlatform::Value *value = m_frozen.contains(host) ? nullptr : m_platform.read(key);
    if (value != nullptr && m_restoredPlatform && (host % 2 == 1 || m_now >= m_restoredForAll) && key.starts_with("config/")) {
        value = m_restoredPlatform->read(key);
    }
    return value == nullptr ? std::nullopt : std::optional(*value);
}

TimePoint SimFleet::platformSteadySince() const
{
    return m_platformSteadySince;
}

void SimFleet::readAdmitted(const SimHost &host)
{
    m_readsAdmitted[&host] = m_now;
}

std::vector<const SimHost *> SimFleet::admittingReads(const std::string &service) const
{
    std::vector<const SimHost *> admitting;
    for (const auto &[host, at] : m_readsAdmitted) {
        if (host->info().service.value() == service && at + ms(BesideReadsMs) >= m_now) {
            admitting.push_back(host);
        }
    }
    return admitting;
}

std::optional<Body> SimFleet::callBelow(const Body &body)
{
    if (body.service == "store") {
        return std::nullopt;
    }
    // A booking books at the service below as well, except at the last one, where it looks something up.
    Body below = body;
    below.call = m_nextCall++;
    below.service = body.service == "front" ? "books" : "store";
    below.booking = body.booking && below.service == "books";
    below.operation = below.booking ? "book" : "read";
    return below;
}

} // namespace wisteriafork::test
