#include "core/ownership/ownerview.h"

#include "core/base/hashing.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Time for which the exclusion of a member that has left the host list is still reported to joining members.
constexpr Duration ExclusionReportTime = std::chrono::hours(1);

} // namespace

OwnerView::OwnerView(MemberAddress self, Incarnation processIncarnation) : m_self(std::move(self)), m_processIncarnation(processIncarnation)
{
}

bool OwnerView::takeList(const HostList &list)
{
    if (list.version <= m_list.version) {
        return false;
    }
    m_list = list;
    if (listNamesSelf()) {
        m_self.listedIn = list.version;
    }
    for (const MemberInfo &member : list.members) {
        note({.id = {.name = member.name, .incarnation = member.incarnation}, .domain = member.domain, .peerAddress = member.peerAddress});
    }
    std::erase_if(m_entries, [this](const auto &item) {
        const OwnerEntry &entry = item.second;
        return !entry.known && !entry.excluded && !entry.barred && listSaysGone(item.first);
    });
    return true;
}

const HostList &OwnerView::list() const
{
    return m_list;
}

bool OwnerView::listNamesSelf() const
{
    return std::any_of(m_list.members.begin(), m_list.members.end(), [this](const MemberInfo &member) {
        return member.name == m_self.id.name && member.incarnation == m_processIncarnation;
    });
}

bool OwnerView::ended(const MemberId &id) const
{
    const OwnerEntry *entry = find(id);
    return entry != nullptr && entry->endedAt.has_value();
}

bool OwnerView::listSaysGone(const MemberId &id) const
{
    const OwnerEntry *entry = find(id);
    if (entry != nullptr && m_list.version < entry->address.listedIn) {
        return false;
    }
    return std::none_of(m_list.members.begin(), m_list.members.end(),
                        [&id](const MemberInfo &member) { return member.name == id.name && member.incarnation <= id.incarnation; });
}

const MemberAddress &OwnerView::self() const
{
    return m_self;
}

const OwnerEntry *OwnerView::find(const MemberId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

const OwnerEntry *OwnerView::successor(const MemberId &earlierId) const
{
    const OwnerEntry *earlier = find(earlierId);
    if (earlier == nullptr || !(earlier->excluded || earlier->endedAt)) {
        return nullptr;
    }
    const OwnerEntry *latest = nullptr;
    for (const auto &[id, entry] : m_entries) {
        const bool follows = id.name == earlierId.name && id.incarnation > earlierId.incarnation
            && entry.address.peerAddress == earlier->address.peerAddress;
        if (follows && entry.known && !entry.excluded && (latest == nullptr || id.incarnation > latest->address.id.incarnation)) {
            latest = &entry;
        }
    }
    return latest;
}

OwnerEntry &OwnerView::note(const MemberAddress &address)
{
    OwnerEntry &entry = m_entries[address.id];
    const std::uint64_t listedIn = std::max(entry.address.listedIn, address.listedIn);
    if (!address.peerAddress.empty() || entry.address.id.name.empty()) {
        entry.address = address;
    }
    entry.address.listedIn = listedIn;
    return entry;
}

bool OwnerView::refusesJoin(const MemberId &id) const
{
    const OwnerEntry *entry = find(id);
    if (entry != nullptr && (entry->barred || entry->excluded)) {
        return true;
    }
    return std::any_of(m_entries.begin(), m_entries.end(), [&id](const auto &item) {
        return item.first.name == id.name && item.first.incarnation > id.incarnation && (item.second.known || item.second.excluded);
    });
}

void OwnerView::bar(const MemberId &id)
{
    note({.id = id, .domain = {}, .peerAddress = {}}).barred = true;
}

void OwnerView::exclude(const MemberAddress &address, TimePoint now)
{
    OwnerEntry &entry = note(address);
    entry.known = true;
    entry.barred = true;
    if (!entry.excluded) {
        entry.excluded = true;
        entry.excludedAt = now;
    }
}

bool OwnerView::excluded(const MemberId &id) const
{
    const OwnerEntry *entry = find(id);
    return entry != nullptr && entry->excluded;
}

void OwnerView::mergeTerms(const MemberAddress &address, const std::vector<WitnessTerm> &terms)
{
    OwnerEntry &entry = note(address);
    entry.known = true;
    if (terms.empty()) {
        return;
    }
    const bool later = entry.terms.empty() || terms.back().term > entry.terms.back().term;
    const bool committed = !later && terms.back().term == entry.terms.back().term && terms.front().term > entry.terms.front().term;
    if (later || committed) {
        entry.terms = terms;
    }
}

void OwnerView::commitTerm(const MemberId &id, std::uint64_t term)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    std::vector<WitnessTerm> &terms = found->second.terms;
    const bool present = std::any_of(terms.begin(), terms.end(), [term](const WitnessTerm &held) { return held.term == term; });
    if (present) {
        std::erase_if(terms, [term](const WitnessTerm &held) { return held.term < term; });
    }
}

void OwnerView::proveEnded(const MemberAddress &successor, TimePoint now)
{
    for (auto &[id, entry] : m_entries) {
        if (id.name == successor.id.name && id.incarnation < successor.id.incarnation && entry.address.peerAddress == successor.peerAddress
            && !entry.endedAt) {
            entry.endedAt = now;
        }
    }
}

std::vector<const OwnerEntry *> OwnerView::owners() const
{
    std::vector<const OwnerEntry *> result;
    for (const auto &[id, entry] : m_entries) {
        if (entry.known && !entry.excluded && id != m_self.id) {
            result.push_back(&entry);
        }
    }
    return result;
}

const OwnerEntry *OwnerView::firstBefore(const RequestKey &key) const
{
    const OwnerEntry *best = nullptr;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.known || entry.excluded || id == m_self.id) {
            continue;
        }
        if (id.name != m_self.id.name && !outranks(key, id.name, m_self.id.name)) {
            continue;
        }
        if (best == nullptr || outranks(key, id.name, best->address.id.name)
            || (id.name == best->address.id.name && id.incarnation > best->address.id.incarnation)) {
            best = &entry;
        }
    }
    return best;
}

const MemberAddress *OwnerView::firstOwner(const RequestKey &key) const
{
    const MemberAddress *best = nullptr;
    for (const OwnerEntry *owner : owners()) {
        if (owner->address.id.name == m_self.id.name) {
            continue;
        }
        if (best == nullptr || outranks(key, owner->address.id.name, best->id.name)) {
            best = &owner->address;
        }
    }
    return best;
}

std::string OwnerView::addressOf(const NodeId &name) const
{
    std::string address;
    for (const auto &[id, entry] : m_entries) {
        if (id.name == name && !entry.address.peerAddress.empty()) {
            address = entry.address.peerAddress;
        }
    }
    return address;
}

bool OwnerView::reportable(const OwnerEntry &entry, TimePoint now) const
{
    if (!entry.excluded) {
        return entry.known;
    }
    return !listSaysGone(entry.address.id) || now - *entry.excludedAt < ExclusionReportTime;
}

std::vector<MemberId> OwnerView::excludedMembers(TimePoint now) const
{
    std::vector<MemberId> result;
    for (const auto &[id, entry] : m_entries) {
        if (entry.excluded && reportable(entry, now)) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<MemberReport> OwnerView::reports(TimePoint now) const
{
    std::vector<MemberReport> result;
    for (const auto &[id, entry] : m_entries) {
        if (id != m_self.id && reportable(entry, now)) {
            result.push_back({.member = entry.address, .excluded = entry.excluded, .terms = entry.terms});
        }
    }
    return result;
}

} // namespace wisteriafork
