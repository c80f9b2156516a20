#include "core/node/controlplane.h"

#include "core/config/slices.h"
#include "core/routing/routecandidate.h"

#include <set>
#include <utility>

namespace wisteriafork {

namespace {

std::vector<Finding> validateSlice(const ServiceId &service, std::string_view text)
{
    if (service.value() == CommonSliceName) {
        const auto common = parseCommonSlice(text);
        return common ? std::vector<Finding>() : common.error();
    }
    const auto slice = parseServiceSlice(text);
    return slice ? std::vector<Finding>() : slice.error();
}

std::vector<ServiceId> findCalledServices(std::string_view text)
{
    std::set<ServiceId> called;
    if (const auto slice = parseServiceSlice(text)) {
        for (const OperationConfiguration &operation : slice->operations) {
            called.insert(operation.calls.begin(), operation.calls.end());
        }
    }
    return {called.begin(), called.end()};
}

DistributionOptions completeOptions(DistributionOptions options)
{
    options.slices = {.validate = validateSlice, .calledServices = findCalledServices};
    return options;
}

} // namespace

ControlPlane::ControlPlane(NodeParts &parts, KeyedCalls &keyed)
    : m_parts(parts)
    , m_keyed(keyed)
    , m_distribution(completeOptions(parts.options.distribution), parts.membership, parts.clock, RandomEngine(parts.random()))
{
}

void ControlPlane::on(const PeerMessageReceived &event)
{
    if (const auto *membership = std::get_if<MembershipMessage>(&event.message)) {
        m_parts.membership.handle(event.from, *membership);
    } else if (const auto *distribution = std::get_if<DistributionMessage>(&event.message)) {
        m_distribution.handle(event.from, *distribution);
    } else if (const auto *ownership = std::get_if<OwnershipMessage>(&event.message)) {
        m_keyed.receive(event.from, *ownership);
    } else if (const auto *suspects = std::get_if<CrashSuspects>(&event.message)) {
        m_parts.crashGuard.receive(*suspects);
    }
    carryOut();
}

void ControlPlane::on(const PeerUnreachable &event)
{
    m_parts.membership.noteUnreachable(event.peer);
    m_distribution.noteUnreachable(event.peer);
    m_keyed.unreachable(event.peer);
    carryOut();
}

void ControlPlane::on(const HostListRead &event)
{
    takeHostList(event.list);
    carryOut();
}

void ControlPlane::on(const PlatformValueRead &event)
{
    m_distribution.valueRead(event.key, event.value);
    carryOut();
}

void ControlPlane::on(const PlatformReadFailed &event)
{
    m_distribution.readFailed(event.key);
    carryOut();
}

void ControlPlane::tick()
{
    m_parts.membership.tick();
    m_distribution.tick();
    m_parts.crashGuard.tick();
    carryOut();
    sendCrashReports();
}

void ControlPlane::drain()
{
    m_parts.membership.announceLeaving();
    carryOut();
}

void ControlPlane::undrain()
{
    m_parts.membership.announceStaying();
    carryOut();
}

void ControlPlane::apply(Configuration configuration)
{
    m_parts.configuration.set(std::move(configuration));
    const Configuration &current = *m_parts.configuration.current();
    if (const ServiceConfiguration *own = m_parts.configuration.service(m_parts.options.self.service)) {
        m_parts.admission.configure(*own, current.tenants);
    }
    m_parts.edge.configure(current.tenants);
    m_keyed.configure();
}

void ControlPlane::carryOut()
{
    // Outputs of the one can lead to outputs of the other; a host list that comes in force changes member states.
    for (;;) {
        const std::vector<DistributionOutput> distribution = m_distribution.takeOutputs();
        for (const DistributionOutput &output : distribution) {
            std::visit([this](const auto &concrete) { on(concrete); }, output);
        }
        const std::vector<MembershipOutput> membership = m_parts.membership.takeOutputs();
        for (const MembershipOutput &output : membership) {
            std::visit([this](const auto &concrete) { on(concrete); }, output);
        }
        if (distribution.empty() && membership.empty()) {
            return;
        }
    }
}

void ControlPlane::on(const SendMembershipMessage &output)
{
    m_parts.actions.add(SendPeerMessage{.to = output.to, .address = output.address, .message = output.message});
}

DomainId ControlPlane::domainOf(const NodeId &name) const
{
    const MemberInfo *member = m_parts.listedMember(name);
    return member == nullptr ? DomainId() : member->domain;
}

void ControlPlane::on(const MemberStateChanged &output)
{
    m_parts.actions.add(
        RecordNotice{.notice = MemberStateNotice{
                         .member = output.name, .incarnation = output.incarnation, .domain = domainOf(output.name), .state = output.to}});
    if (const MemberInfo *member = m_parts.listedMember(output.name)) {
        updateRouter(member->service);
    }
}

void ControlPlane::on(const PauseDetected &output)
{
    m_parts.actions.add(RecordNotice{.notice = PauseNotice{.length = output.length}});
}

void ControlPlane::on(const ViewRefreshed &)
{
}

void ControlPlane::on(const DomainSilenceChanged &output)
{
    m_parts.actions.add(RecordNotice{.notice = DomainNotice{.domain = output.domain, .silent = output.silent}});
}

void ControlPlane::on(const SendDistributionMessage &output)
{
    m_parts.actions.add(SendPeerMessage{.to = output.to, .address = output.address, .message = output.message});
}

void ControlPlane::on(const StartValueWatch &output)
{
    m_parts.actions.add(StartWatch{.key = output.key});
}

void ControlPlane::on(const StopValueWatch &output)
{
    m_parts.actions.add(StopWatch{.key = output.key});
}

void ControlPlane::on(const ReadValue &output)
{
    m_parts.actions.add(ReadPlatformValue{.key = output.key});
}

void ControlPlane::on(const ConfigurationChanged &output)
{
    CommonSlice common;
    std::vector<ServiceConfiguration> services;
    for (const auto &[service, text] : output.slices) {
        if (service.value() == CommonSliceName) {
            if (auto parsed = parseCommonSlice(*text)) {
                common = std::move(*parsed);
            }
        } else if (auto parsed = parseServiceSlice(*text)) {
            services.push_back(std::move(*parsed));
        }
    }
    apply(assembleConfiguration(output.stamp.version, common, std::move(services)));
    m_parts.actions.add(
        RecordNotice{.notice = ConfigurationNotice{.version = output.stamp.version, .from = m_distribution.status().inForceFrom}});
}

void ControlPlane::on(const HostListChanged &output)
{
    takeHostList(output.list);
}

void ControlPlane::on(const HostListDropped &output)
{
    m_parts.membership.dropService(output.service);
    m_parts.hostLists.erase(output.service);
}

void ControlPlane::on(const HostsVersionReached &output)
{
    m_parts.membership.setHostsVersion(output.version);
}

void ControlPlane::on(const ValueHeldBack &output)
{
    m_parts.actions.add(RecordNotice{.notice = HeldBackNotice{.version = output.stamp.version,
                                                              .inForce = m_distribution.status().inForce.version,
                                                              .findings = output.findings}});
}

void ControlPlane::on(const VersionConflict &)
{
}

void ControlPlane::on(const BecameReady &)
{
}

void ControlPlane::takeHostList(const HostList &list)
{
    HostList &known = m_parts.hostLists[list.service];
    if (list.version <= known.version && known.version != 0) {
        return;
    }
    for (const MemberInfo &member : known.members) {
        m_parts.members.erase(member.name);
    }
    known = list;
    for (const MemberInfo &member : list.members) {
        m_parts.members.insert_or_assign(member.name, member);
    }
    m_parts.membership.applyHostList(list);
    if (list.service == m_parts.options.self.service) {
        m_keyed.hostListChanged(list);
    }
    updateRouter(list.service);
}

void ControlPlane::updateRouter(const ServiceId &service)
{
    std::vector<RouteCandidate> candidates;
    for (const Candidate &candidate : m_parts.membership.view(service).all) {
        if (const MemberInfo *member = m_parts.listedMember(candidate.name)) {
            const bool leaving = candidate.leaving && m_parts.options.mechanisms.avoidLeaving;
            candidates.push_back({.member = *member, .suspected = candidate.suspected, .leaving = leaving});
        }
    }
    m_parts.router.update(service, candidates);
}

void ControlPlane::sendCrashReports()
{
    const std::optional<CrashSuspects> reports = m_parts.crashGuard.takeReports();
    if (!reports) {
        return;
    }
    const auto list = m_parts.hostLists.find(m_parts.options.self.service);
    if (list == m_parts.hostLists.end()) {
        return;
    }
    for (const MemberInfo &member : list->second.members) {
        if (member.name != m_parts.self()) {
            m_parts.actions.add(SendPeerMessage{.to = member.name, .address = member.peerAddress, .message = *reports});
        }
    }
}

} // namespace wisteriafork
