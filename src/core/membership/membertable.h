#pragma once

#include "core/base/clock.h"
#include "core/base/hostlist.h"
#include "core/membership/candidate.h"
#include "core/membership/domainwatch.h"
#include "core/membership/memberrecord.h"
#include "core/membership/membershipoptions.h"
#include "core/membership/membershipoutput.h"

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wisteriafork {

// The members that a node knows, and the rules by which lists, evidence and notices combine to a state. Used by `Membership` only.
class MemberTable
{
public:
    // Both arguments must outlive the table.
    MemberTable(const MembershipOptions &options, DomainWatch &domains);

    // False if the list is older than the one held.
    bool applyList(const HostList &list, TimePoint now);
    void dropService(const ServiceId &service);

    // Evidence that the incarnation runs. False if the member is unknown or the incarnation is an old one.
    bool noteContact(const NodeId &name, Incarnation incarnation, bool leaving, TimePoint now);
    // Evidence that it does not answer. True if this made it suspected.
    bool noteFailure(const NodeId &name, TimePoint now);
    // Takes a notice about a known member. False if it is older than what is known.
    bool applyNotice(const MemberNotice &notice, TimePoint now);
    // Gives the suspected members of a domain that is heard again one more chance each.
    void reviveDomain(const DomainId &domain, TimePoint now);
    // Computes the state again, where it depends on time.
    void reevaluate(const NodeId &name, TimePoint now);
    // Drops members that have been gone for some time.
    void purge(TimePoint now);

    MemberRecord *find(const NodeId &name);
    const MemberRecord *find(const NodeId &name) const;
    ServiceView view(const ServiceId &service) const;
    bool isListedGone(const NodeId &name, Incarnation incarnation) const;
    bool holdsListOf(const ServiceId &service) const;
    std::size_t size() const;
    std::vector<MemberStateChanged> takeChanges();
    // Records by service, for the choice of peers.
    template <typename Visitor>
    void forEachService(Visitor visit) const
    {
        for (const auto &[service, entry] : m_services) {
            visit(service, entry.members);
        }
    }

private:
    struct ServiceEntry
    {
        std::uint64_t listVersion = 0;
        std::vector<MemberRecord *> members;
        // Built when asked for after a change.
        mutable std::vector<Candidate> candidates;
        mutable ServiceView view;
        mutable bool changed = true;
    };

    MemberRecord &recordOf(const MemberInfo &member, ServiceEntry &entry);
    void takeIncarnation(MemberRecord &record, Incarnation incarnation);
    void update(MemberRecord &record, TimePoint now);
    MemberState evaluate(const MemberRecord &record, TimePoint now) const;
    MemberState evaluateUnlisted(const MemberRecord &record, TimePoint now) const;
    bool isSuspected(const MemberRecord &record) const;
    bool hasRecentContact(const MemberRecord &record, TimePoint now) const;
    void build(const ServiceEntry &entry) const;
    void erase(const NodeId &name);

    const MembershipOptions &m_options;
    DomainWatch &m_domains;
    std::unordered_map<NodeId, MemberRecord> m_records;
    std::unordered_map<ServiceId, ServiceEntry> m_services;
    std::deque<std::pair<TimePoint, NodeId>> m_gone;
    std::vector<MemberStateChanged> m_changes;
};

} // namespace wisteriafork
