#pragma once

#include "core/ownership/handedrecord.h"
#include "core/ownership/memberid.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace wisteriafork {

// How far a member has come towards acting as an owner.
enum class OwnerStage : std::uint8_t {
    Joining = 0,
    Joined = 1,
    Leaving = 2,
};

// Witnesses of an owner, in the order in which it tries them. The terms of an owner are numbered from 1.
struct WitnessTerm
{
    std::uint64_t term = 0;
    std::vector<MemberId> witnesses;

    auto fields()
    {
        return std::tie(term, witnesses);
    }
    auto fields() const
    {
        return std::tie(term, witnesses);
    }
    friend bool operator==(const WitnessTerm &, const WitnessTerm &) = default;
};

// Where a member can be reached.
struct MemberAddress
{
    MemberId id;
    DomainId domain;
    std::string peerAddress;
    // Version of the last host list in which the member saw itself; 0 if unknown. An older list that lacks it says nothing about it.
    std::uint64_t listedIn = 0;

    auto fields()
    {
        return std::tie(id, domain, peerAddress, listedIn);
    }
    auto fields() const
    {
        return std::tie(id, domain, peerAddress, listedIn);
    }
    friend bool operator==(const MemberAddress &, const MemberAddress &) = default;
};

// Asks whether a member is there and says that the sender is. Joined members send it to listed members that they do not know, so that a
// starting member whose list lacks them learns of them. A probe or a join of a later incarnation from the address of an earlier one proves
// that the earlier one has ended, because only one process can hold the port.
struct OwnershipProbe
{
    MemberAddress sender;
    OwnerStage stage = OwnerStage::Joining;
    // True if this answers a probe; an answer is not answered.
    bool answer = false;
    // Terms that the sender uses.
    std::vector<WitnessTerm> terms;

    auto fields()
    {
        return std::tie(sender, stage, answer, terms);
    }
    auto fields() const
    {
        return std::tie(sender, stage, answer, terms);
    }
};

// Asks a member to accept the sender as an owner with the witnesses of the last term given.
struct Join
{
    MemberAddress sender;
    // All terms that the sender uses, and last the new one. Terms that it gave up before using them are not listed.
    std::vector<WitnessTerm> terms;
    // Incarnations that the sender holds to be fenced. The receiver accepts no further joins from them.
    std::vector<MemberId> excluded;

    auto fields()
    {
        return std::tie(sender, terms, excluded);
    }
    auto fields() const
    {
        return std::tie(sender, terms, excluded);
    }
};

// What a member reports of another member.
struct MemberReport
{
    MemberAddress member;
    // Fenced or released: it starts no further runs, and its keys are among the handed records.
    bool excluded = false;
    // Terms that may be in use, the committed one first.
    std::vector<WitnessTerm> terms;

    auto fields()
    {
        return std::tie(member, excluded, terms);
    }
    auto fields() const
    {
        return std::tie(member, excluded, terms);
    }
};

// The receiver of a join stops acting for the keys for which the joiner outranks it.
struct JoinAcknowledged
{
    // The first report describes the sender itself.
    MemberId sender;
    MemberId joiner;
    std::uint64_t term = 0;
    OwnerStage stage = OwnerStage::Joining;
    std::vector<MemberReport> members;
    std::vector<HandedRecord> records;

    auto fields()
    {
        return std::tie(sender, joiner, term, stage, members, records);
    }
    auto fields() const
    {
        return std::tie(sender, joiner, term, stage, members, records);
    }
};

// The joiner's incarnation is fenced, or a fence was started; it must restart as a new incarnation.
struct JoinRefused
{
    MemberId sender;
    MemberId joiner;
    std::uint64_t term = 0;

    auto fields()
    {
        return std::tie(sender, joiner, term);
    }
    auto fields() const
    {
        return std::tie(sender, joiner, term);
    }
};

// The sender uses only this term from now on, and all its keys are claimed with the witnesses of this term.
struct JoinCommitted
{
    MemberId sender;
    std::uint64_t term = 0;

    auto fields()
    {
        return std::tie(sender, term);
    }
    auto fields() const
    {
        return std::tie(sender, term);
    }
};

struct JoinCommittedAcknowledged
{
    MemberId sender;
    MemberId joiner;
    std::uint64_t term = 0;

    auto fields()
    {
        return std::tie(sender, joiner, term);
    }
    auto fields() const
    {
        return std::tie(sender, joiner, term);
    }
};

} // namespace wisteriafork
