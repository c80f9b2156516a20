#include "core/base/manualclock.h"
#include "core/membership/membership.h"

#include <algorithm>
#include <array>
#include <random>

#include <rapidcheck.h>

// After the others: CppUTest replaces `new` by a macro.
#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {
const ServiceId Service("katalog");

MemberInfo member(const std::string &name, Incarnation incarnation, const std::string &domain = "fana")
{
    return {.name = NodeId(name),
            .incarnation = incarnation,
            .service = Service,
            .domain = DomainId(domain),
            .peerAddress = "127.0.0.1:7101",
            .state = ListedState::Live};
}

struct Node
{
    explicit Node(MembershipMechanisms mechanisms = {})
        : membership({.self = member("self", 1, "bryggen"), .mechanisms = mechanisms}, clock, RandomEngine(1))
    {
    }

    // Ticks for a time and returns the messages sent in it.
    std::size_t run(Duration time)
    {
        std::size_t sent = 0;
        for (Duration passed{0}; passed < time; passed += 100ms) {
            clock.advance(100ms);
            membership.tick();
            for (const MembershipOutput &output : membership.takeOutputs()) {
                sent += std::holds_alternative<SendMembershipMessage>(output) ? 1 : 0;
            }
        }
        return sent;
    }

    void list(std::uint64_t version, const std::vector<MemberInfo> &members)
    {
        membership.applyHostList({.service = Service, .version = version, .members = members});
    }

    ManualClock clock;
    Membership membership;
};

// One piece of news of the member "other": a list version, or a notice with a sequence. All that is true of it follows from its number.
void tell(Node &node, std::uint64_t news)
{
    const Incarnation incarnation = 1 + (news / 8 % 3);
    const std::uint64_t rank = 1 + (news % 8);
    if (news % 2 == 0) {
        const std::uint64_t version = (incarnation * 8) + rank;
        MemberInfo other = member("other", incarnation);
        other.state = rank % 4 == 0 ? ListedState::Leaving : ListedState::Live;
        node.list(version, {member("self", 1, "bryggen"), other});
        return;
    }
    const NoticeKind kind = rank % 4 == 0 ? NoticeKind::Leaving : NoticeKind::Alive;
    const MemberNotice notice{.subject = NodeId("other"), .incarnation = incarnation, .sequence = rank, .kind = kind, .accuser = {}};
    node.membership.handle(NodeId("third"), MemberGossip{.sender = NodeId("third"), .incarnation = 1, .notices = {notice}});
}

bool isSame(Node &first, Node &second)
{
    const NodeId other("other");
    return first.membership.incarnation(other) == second.membership.incarnation(other)
        && first.membership.state(other) == second.membership.state(other)
        && first.membership.isListedLive(other, 3) == second.membership.isListedLive(other, 3);
}

// Two nodes hear the same news in different orders, some of it twice. True if they come to different views.
bool differs(MembershipMechanisms mechanisms, int cases)
{
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = cases;
    params.disableShrinking = true;
    const auto property = [&] {
        RandomEngine random(*rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()));
        std::vector<std::uint64_t> news{0, 1};
        for (int i = 0; i < 6; ++i) {
            news.push_back(random() % 24);
        }
        std::array<Node, 2> nodes{Node(mechanisms), Node(mechanisms)};
        for (Node &node : nodes) {
            node.list(1, {member("self", 1, "bryggen"), member("other", 1)});
            std::shuffle(news.begin(), news.end(), random);
            std::for_each(news.begin(), news.end(), [&](std::uint64_t item) { tell(node, item); });
        }
        RC_ASSERT(isSame(nodes[0], nodes[1]));
    };
    return !rc::detail::checkTestable(property, rc::detail::TestMetadata(), params).template is<rc::detail::SuccessResult>();
}

// A node that knows 60 members of a domain, all of which fail at once. Returns the messages sent in the next 10 s.
std::size_t messagesAfterLoss(MembershipMechanisms mechanisms)
{
    Node node(mechanisms);
    std::vector<MemberInfo> members{member("self", 1, "bryggen")};
    for (int i = 0; i < 60; ++i) {
        members.push_back(member("lost-" + std::to_string(i), 1));
    }
    node.list(1, members);
    node.run(1s);
    for (int i = 0; i < 60; ++i) {
        node.membership.noteUnreachable(NodeId("lost-" + std::to_string(i)));
    }
    return node.run(10s);
}

// Gossip sent in 10 s by a node that is told of 200 accused members, 20 of them every 100 ms.
std::size_t gossipAfterAccusations(MembershipMechanisms mechanisms)
{
    Node node(mechanisms);
    node.list(1, {member("self", 1, "bryggen"), member("a", 1), member("b", 1), member("c", 1), member("d", 1)});
    node.run(1s);
    std::size_t sent = 0;
    for (int i = 0; i < 100; ++i) {
        MemberGossip told{.sender = NodeId("a"), .incarnation = 1, .notices = {}};
        for (int j = 0; j < 20 && i < 10; ++j) {
            const NodeId subject("lost-" + std::to_string((i * 20) + j));
            told.notices.push_back(
                {.subject = subject, .incarnation = 1, .sequence = 0, .kind = NoticeKind::Suspect, .accuser = NodeId("b")});
        }
        node.membership.handle(NodeId("a"), told);
        node.clock.advance(100ms);
        node.membership.tick();
        for (const MembershipOutput &output : node.membership.takeOutputs()) {
            const auto *send = std::get_if<SendMembershipMessage>(&output);
            sent += send != nullptr && std::holds_alternative<MemberGossip>(send->message) ? 1 : 0;
        }
    }
    return sent;
}

// A list drops the members of a domain of which none answers any more.
MemberState stateOfDroppedMember(MembershipMechanisms mechanisms)
{
    Node node(mechanisms);
    node.list(1, {member("self", 1, "bryggen"), member("a", 1), member("b", 1), member("c", 1)});
    for (int i = 0; i < 2; ++i) {
        for (const char *name : {"a", "b", "c"}) {
            node.membership.noteUnreachable(NodeId(name));
        }
    }
    node.list(2, {member("self", 1, "bryggen")});
    node.run(20s);
    return node.membership.state(NodeId("a")).value_or(MemberState::Gone);
}

// Two members accuse one that this node has never talked to.
bool isUsedAfterAccusations(MembershipMechanisms mechanisms)
{
    Node node(mechanisms);
    node.list(1, {member("self", 1, "bryggen"), member("a", 1)});
    for (const char *accuser : {"b", "c"}) {
        const MemberNotice notice{
            .subject = NodeId("a"), .incarnation = 1, .sequence = 0, .kind = NoticeKind::Suspect, .accuser = NodeId(accuser)};
        node.membership.handle(NodeId(accuser), MemberGossip{.sender = NodeId(accuser), .incarnation = 1, .notices = {notice}});
    }
    return node.membership.state(NodeId("a")) == MemberState::Live;
}
} // namespace

TEST_GROUP(MembershipRules){};

// Guards against old news that beats newer: the order in which news arrives must not matter.
TEST(MembershipRules, giveTheSameViewInAnyOrder)
{
    CHECK_FALSE(differs({}, 20000));
}

TEST(MembershipRules, needListOrder)
{
    CHECK_TRUE(differs({.listOrder = false}, 2000));
}

TEST(MembershipRules, needSequenceOrder)
{
    CHECK_TRUE(differs({.sequenceOrder = false}, 2000));
}

// Guards against a storm of probes when many members are lost at once: 12 messages a second and a burst of 24.
TEST(MembershipRules, boundProbesWhenADomainIsLost)
{
    CHECK_TRUE(messagesAfterLoss({}) <= 12 * 10 + 24);
    CHECK_TRUE(messagesAfterLoss({.probeBudget = false}) > 12 * 10 + 24);
}

// Guards against gossip that passes the 5 KB/s of a node when a failure domain is lost: 1.5 messages a second and a burst of 16.
TEST(MembershipRules, boundGossipWhenManyAreAccused)
{
    CHECK_COMPARE(gossipAfterAccusations({}), <=, 15U + 16U);
    CHECK_COMPARE(gossipAfterAccusations({.gossipBudget = false}), >, 15U + 16U);
}

// Guards against taking a partition for the end of all hosts on the other side.
TEST(MembershipRules, doNotDeclareASilentDomainGone)
{
    CHECK_TRUE(stateOfDroppedMember({}) == MemberState::Suspected);
    CHECK_TRUE(stateOfDroppedMember({.partitionGuard = false}) == MemberState::Gone);
}

// Guards against callers that send work to a dead host until they have found out themselves.
TEST(MembershipRules, suspectWhatSeveralMembersAccuse)
{
    CHECK_FALSE(isUsedAfterAccusations({}));
    CHECK_TRUE(isUsedAfterAccusations({.suspicionNotices = false}));
}

// Guards against candidates in the wrong order, which would make routing search.
TEST(MembershipRules, putUsableLocalCandidatesFirst)
{
    Node node;
    MemberInfo leaving = member("c", 1, "bryggen");
    leaving.state = ListedState::Leaving;
    node.list(1, {member("a", 1, "fana"), leaving, member("b", 1, "bryggen")});

    const ServiceView view = node.membership.view(Service);

    LONGS_EQUAL(1, view.usableLocal);
    LONGS_EQUAL(2, view.usable);
    CHECK_TRUE(view.localCandidates().front().name == NodeId("b"));
}
