#pragma once

#include "core/base/clock.h"
#include "core/base/hostlist.h"
#include "core/base/requestkey.h"
#include "core/ownership/joinmessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriafork {

// What a member knows of another incarnation of its service.
struct OwnerEntry
{
    MemberAddress address;
    // Its join was acknowledged here, or a joined member reported it: it may be an owner.
    bool known = false;
    // Fenced or released: it starts no run any more, and its records are here.
    bool excluded = false;
    std::optional<TimePoint> excludedAt;
    // No join of it is accepted any more.
    bool barred = false;
    std::vector<WitnessTerm> terms;
    // Local time at which it was proved that the process has ended.
    std::optional<TimePoint> endedAt;
};

// The members of the own service as owners: the host list and what joins, fences and releases have shown.
class OwnerView
{
public:
    OwnerView(MemberAddress self, Incarnation processIncarnation);

    // Keeps the list if it is newer than the one held; returns whether it was.
    bool takeList(const HostList &list);
    const HostList &list() const;
    // True if the list held names the process of this incarnation.
    bool listNamesSelf() const;
    // True if the list held lacks the incarnation or names a later one of the instance, and is not older than the list in which the
    // incarnation saw itself.
    bool listSaysGone(const MemberId &id) const;

    const MemberAddress &self() const;
    const OwnerEntry *find(const MemberId &id) const;
    // True if it was proved that the incarnation has ended.
    bool ended(const MemberId &id) const;
    // The latest incarnation that followed an excluded or ended one at its address; null if there is none. The host list may go on to name
    // the earlier one, if that is the incarnation of the process.
    const OwnerEntry *successor(const MemberId &earlierId) const;
    // Entry of a member, made if there is none.
    OwnerEntry &note(const MemberAddress &address);
    // True if joins of the incarnation are refused: it is barred or excluded, or a later incarnation is known.
    bool refusesJoin(const MemberId &id) const;
    void bar(const MemberId &id);
    void exclude(const MemberAddress &address, TimePoint now);
    bool excluded(const MemberId &id) const;
    // Takes over terms from a join or a report, unless later ones are known.
    void mergeTerms(const MemberAddress &address, const std::vector<WitnessTerm> &terms);
    void commitTerm(const MemberId &id, std::uint64_t term);
    // The successor is there: all earlier incarnations of its instance on its address have ended.
    void proveEnded(const MemberAddress &successor, TimePoint now);

    // Members that may be owners, without those excluded.
    std::vector<const OwnerEntry *> owners() const;
    // The first in rank for the key among `owners` and this member; null if that is this member. An earlier incarnation of this instance
    // that may still be an owner ranks before it.
    const OwnerEntry *firstBefore(const RequestKey &key) const;
    // The first in rank for the key among `owners`; null if there is none.
    const MemberAddress *firstOwner(const RequestKey &key) const;
    // Address of the latest known incarnation of an instance; empty if unknown.
    std::string addressOf(const NodeId &name) const;
    std::vector<MemberId> excludedMembers(TimePoint now) const;
    std::vector<MemberReport> reports(TimePoint now) const;

private:
    bool reportable(const OwnerEntry &entry, TimePoint now) const;

    MemberAddress m_self;
    Incarnation m_processIncarnation;
    HostList m_list;
    std::map<MemberId, OwnerEntry> m_entries;
};

} // namespace wisteriafork
