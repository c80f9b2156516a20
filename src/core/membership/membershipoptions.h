#pragma once

#include "core/base/clock.h"
#include "core/base/memberinfo.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace wisteriafork {

// Mechanisms that tests and experiments switch off one at a time, to show that the check which covers each can fail.
struct MembershipMechanisms
{
    bool incarnationOrder = true;
    bool sequenceOrder = true;
    bool listOrder = true;
    bool pauseDetection = true;
    bool partitionGuard = true;
    // Direct evidence keeps an instance that the list dropped in use for reads.
    bool evidenceOverList = true;
    bool probeBudget = true;
    bool gossipBudget = true;
    bool leavingNotices = true;
    bool suspicionNotices = true;
};

struct MembershipOptions
{
    MemberInfo self;
    // Addresses of nodes to ask while no host list is known.
    std::vector<std::string> seeds;
    // Bound on the probe and gossip set.
    std::size_t maxPeers = 64;
    // Members of the own service that follow this one on a ring by hash; they are probed in turn, one each interval.
    std::size_t monitored = 3;
    // Places of the peer set for members of other services than the own and the called ones.
    std::size_t maxSamples = 16;
    // One probe of a monitored member per interval, and one of another peer or of a suspected member every other interval.
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration probeTimeout = std::chrono::seconds(1);
    unsigned failuresToSuspect = 2;
    // Distinct accusers needed when this node has no evidence of its own.
    unsigned accusersToSuspect = 2;
    // Time for which an answer outweighs what lists and other nodes say.
    Duration evidenceTime = std::chrono::seconds(10);
    // A jump between ticks of more than this counts as a pause of this process; 5 ticks missed at the default of 100 ms.
    Duration pauseThreshold = std::chrono::milliseconds(600);
    // Answers needed after a pause or a start before the view counts as fresh; fewer if fewer peers are known.
    std::size_t refreshAnswers = 3;
    // Members of one other failure domain that must fall silent, with no answer from that domain between, to be taken for a partition.
    std::size_t silentMembers = 3;
    // Time for which a silent failure domain keeps its delisted members from counting as gone; longer than the hour for which regions lose
    // contact.
    Duration partitionHold = std::chrono::hours(2);
    // Probes and gossip messages a node may start, per second and at once. Replies are not counted: they are bounded by what arrives.
    double messagesPerSecond = 12;
    double messageBurst = 24;
    std::size_t gossipFanout = 4;
    // Gossip messages among them, per second and at once; notices of leaving members are not delayed by it. One failure fits into the burst
    // and spreads at once. After the loss of a failure domain the rate holds the bytes of a node below 5 KB/s.
    double gossipPerSecond = 1.5;
    double gossipBurst = 16;
    // Notices carried by one gossip message, and by a probe or its reply.
    std::size_t noticesPerMessage = 8;
    std::size_t ridesPerMessage = 4;
    MembershipMechanisms mechanisms;
};

} // namespace wisteriafork
