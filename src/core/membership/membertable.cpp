#include "core/membership/membertable.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <chrono>

namespace wisteriafork {

namespace {
// Time for which a member that is gone is remembered, so that late news of its incarnation is recognised as old.
constexpr std::chrono::minutes GoneRetention{5};
} // namespace

MemberTable::MemberTable(const MembershipOptions &options, DomainWatch &domains) : m_options(options), m_domains(domains)
{
}

bool MemberTable::applyList(const HostList &list, TimePoint now)
{
    ServiceEntry &entry = m_services[list.service];
    if (m_options.mechanisms.listOrder && list.version < entry.listVersion) {
        return false;
    }
    entry.listVersion = list.version;
    entry.changed = true;
    for (const MemberInfo &member : list.members) {
        MemberRecord &record = recordOf(member, entry);
        if (member.incarnation > record.about.incarnation || !m_options.mechanisms.incarnationOrder) {
            takeIncarnation(record, member.incarnation);
        }
        if (member.incarnation == record.about.incarnation) {
            record.about = introduce(member);
            record.listedLeaving = member.state == ListedState::Leaving;
        }
        record.listedIncarnation = member.incarnation;
        record.seenInList = list.version;
    }
    for (MemberRecord *record : entry.members) {
        if (record->seenInList != list.version && record->listedIncarnation != 0) {
            record->listedIncarnation = 0;
            record->delistedAt = now;
        }
        update(*record, now);
    }
    return true;
}

MemberRecord &MemberTable::recordOf(const MemberInfo &member, ServiceEntry &entry)
{
    const auto [found, inserted] = m_records.try_emplace(member.name);
    MemberRecord &record = found->second;
    if (inserted) {
        record.about = introduce(member);
        entry.members.push_back(&record);
        m_domains.addMember(member.domain);
    }
    return record;
}

void MemberTable::dropService(const ServiceId &service)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return;
    }
    for (const MemberRecord *record : found->second.members) {
        m_domains.removeMember(record->about.domain);
        const NodeId name = record->about.name;
        m_records.erase(name);
    }
    m_services.erase(found);
}

void MemberTable::takeIncarnation(MemberRecord &record, Incarnation incarnation)
{
    record.about.incarnation = incarnation;
    record.listedLeaving = false;
    record.sequence = 0;
    record.toldLeaving = false;
    record.lastContact = {};
    record.failures = 0;
    record.accuserCount = 0;
    if (record.state != MemberState::Gone) {
        m_changes.push_back(
            {.name = record.about.name, .incarnation = incarnation, .from = MemberState::Gone, .to = MemberState::Suspected});
    }
    record.state = MemberState::Suspected;
}

bool MemberTable::noteContact(const NodeId &name, Incarnation incarnation, bool leaving, TimePoint now)
{
    MemberRecord *record = find(name);
    if (record == nullptr) {
        return false;
    }
    if (incarnation != record->about.incarnation) {
        if (incarnation < record->about.incarnation && m_options.mechanisms.incarnationOrder) {
            return false;
        }
        takeIncarnation(*record, incarnation);
    }
    record->lastContact = now;
    record->failures = 0;
    record->accuserCount = 0;
    record->toldLeaving = record->toldLeaving || (leaving && m_options.mechanisms.leavingNotices);
    update(*record, now);
    return true;
}

bool MemberTable::noteFailure(const NodeId &name, TimePoint now)
{
    MemberRecord *record = find(name);
    if (record == nullptr || name == m_options.self.name) {
        return false;
    }
    const bool before = isSuspected(*record);
    ++record->failures;
    update(*record, now);
    return !before && isSuspected(*record);
}

bool MemberTable::applyNotice(const MemberNotice &notice, TimePoint now)
{
    MemberRecord *record = find(notice.subject);
    if (record == nullptr) {
        return false;
    }
    if (notice.incarnation != record->about.incarnation) {
        if (notice.incarnation < record->about.incarnation && m_options.mechanisms.incarnationOrder) {
            return false;
        }
        takeIncarnation(*record, notice.incarnation);
    }
    if (notice.kind == NoticeKind::Suspect) {
        if (notice.sequence < record->sequence || hasRecentContact(*record, now) || !m_options.mechanisms.suspicionNotices) {
            return false;
        }
        const std::uint64_t accuser = hash64(notice.accuser.value());
        const auto end = record->accusers.begin() + static_cast<std::ptrdiff_t>(record->accuserCount);
        if (record->accuserCount < record->accusers.size() && std::find(record->accusers.begin(), end, accuser) == end) {
            record->accusers[record->accuserCount++] = accuser;
        }
    } else {
        if (notice.sequence <= record->sequence && m_options.mechanisms.sequenceOrder) {
            return false;
        }
        record->sequence = notice.sequence;
        record->toldLeaving = notice.kind == NoticeKind::Leaving && m_options.mechanisms.leavingNotices;
        record->accuserCount = 0;
    }
    update(*record, now);
    return true;
}

void MemberTable::reviveDomain(const DomainId &domain, TimePoint now)
{
    for (auto &[name, record] : m_records) {
        if (record.about.domain == domain && record.state == MemberState::Suspected) {
            record.failures = std::min(record.failures, m_options.failuresToSuspect - 1);
            record.accuserCount = 0;
            update(record, now);
        }
    }
}

void MemberTable::reevaluate(const NodeId &name, TimePoint now)
{
    if (MemberRecord *record = find(name)) {
        update(*record, now);
    }
}

void MemberTable::update(MemberRecord &record, TimePoint now)
{
    const MemberState state = evaluate(record, now);
    m_services[record.about.service].changed = true;
    if (state == record.state) {
        return;
    }
    m_changes.push_back({.name = record.about.name, .incarnation = record.about.incarnation, .from = record.state, .to = state});
    record.state = state;
    if (state == MemberState::Gone) {
        m_gone.emplace_back(now, record.about.name);
    }
}

MemberState MemberTable::evaluate(const MemberRecord &record, TimePoint now) const
{
    if (record.about.name != m_options.self.name) {
        // An incarnation that is newer than the listed one is a restart that the list does not show yet.
        const bool newerThanList = record.listedIncarnation != 0 && record.listedIncarnation < record.about.incarnation;
        if (!record.listed() && !newerThanList) {
            return evaluateUnlisted(record, now);
        }
        if (isSuspected(record)) {
            return MemberState::Suspected;
        }
    }
    return record.leaving() ? MemberState::Leaving : MemberState::Live;
}

MemberState MemberTable::evaluateUnlisted(const MemberRecord &record, TimePoint now) const
{
    const bool suspected = isSuspected(record);
    if (!m_options.mechanisms.evidenceOverList) {
        return MemberState::Gone;
    }
    if (!suspected && hasRecentContact(record, now)) {
        return record.leaving() ? MemberState::Leaving : MemberState::Live;
    }
    const bool held = m_domains.isSilent(record.about.domain) && now - record.delistedAt < m_options.partitionHold;
    return suspected && !held ? MemberState::Gone : MemberState::Suspected;
}

bool MemberTable::isSuspected(const MemberRecord &record) const
{
    return record.failures >= m_options.failuresToSuspect || record.accuserCount >= m_options.accusersToSuspect
        || (record.failures > 0 && record.accuserCount > 0);
}

bool MemberTable::hasRecentContact(const MemberRecord &record, TimePoint now) const
{
    return record.lastContact != TimePoint{} && now - record.lastContact <= m_options.evidenceTime;
}

void MemberTable::purge(TimePoint now)
{
    while (!m_gone.empty() && now - m_gone.front().first >= GoneRetention) {
        const NodeId name = std::move(m_gone.front().second);
        m_gone.pop_front();
        const MemberRecord *record = find(name);
        if (record != nullptr && record->state == MemberState::Gone) {
            erase(name);
        }
    }
}

void MemberTable::erase(const NodeId &name)
{
    const auto found = m_records.find(name);
    m_domains.removeMember(found->second.about.domain);
    ServiceEntry &entry = m_services[found->second.about.service];
    std::erase(entry.members, &found->second);
    entry.changed = true;
    m_records.erase(found);
}

MemberRecord *MemberTable::find(const NodeId &name)
{
    const auto found = m_records.find(name);
    return found == m_records.end() ? nullptr : &found->second;
}

const MemberRecord *MemberTable::find(const NodeId &name) const
{
    const auto found = m_records.find(name);
    return found == m_records.end() ? nullptr : &found->second;
}

ServiceView MemberTable::view(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return {};
    }
    if (found->second.changed) {
        build(found->second);
    }
    return found->second.view;
}

void MemberTable::build(const ServiceEntry &entry) const
{
    entry.candidates.clear();
    for (const MemberRecord *record : entry.members) {
        if (record->state != MemberState::Gone) {
            entry.candidates.push_back({.name = record->about.name,
                                        .incarnation = record->about.incarnation,
                                        .domain = record->about.domain,
                                        .peerAddress = record->about.address,
                                        .leaving = record->leaving(),
                                        .suspected = record->state == MemberState::Suspected,
                                        .listed = record->listed()});
        }
    }
    const auto usableEnd = std::partition(entry.candidates.begin(), entry.candidates.end(), [](const Candidate &c) { return c.usable(); });
    const auto localEnd
        = std::partition(entry.candidates.begin(), usableEnd, [this](const Candidate &c) { return c.domain == m_options.self.domain; });
    entry.view = {.all = entry.candidates,
                  .usableLocal = static_cast<std::size_t>(localEnd - entry.candidates.begin()),
                  .usable = static_cast<std::size_t>(usableEnd - entry.candidates.begin())};
    entry.changed = false;
}

bool MemberTable::isListedGone(const NodeId &name, Incarnation incarnation) const
{
    const MemberRecord *record = find(name);
    if (record == nullptr) {
        return holdsListOf(m_options.self.service);
    }
    return record->listedIncarnation == 0 || record->listedIncarnation > incarnation;
}

bool MemberTable::holdsListOf(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.listVersion != 0;
}

std::size_t MemberTable::size() const
{
    return m_records.size();
}

std::vector<MemberStateChanged> MemberTable::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace wisteriafork
