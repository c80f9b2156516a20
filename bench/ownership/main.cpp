#include "core/base/hashing.h"
#include "core/base/manualclock.h"
#include "core/ownership/ownership.h"
#include "ownership/claimtraffic.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

using namespace wisteriafork;

namespace {

constexpr std::uint64_t Keys = 1'000'000;
constexpr std::uint64_t SecondBatch = 1'000;

RequestKey keyNumber(std::uint64_t number)
{
    const std::string text = std::to_string(number);
    return {.high = hash64(text, 1), .low = hash64(text, 2)};
}

std::vector<MemberInfo> makeMembers(std::size_t count)
{
    std::vector<MemberInfo> members(count);
    for (std::size_t index = 0; index < count; ++index) {
        members[index].name = NodeId("bestilling-" + std::to_string(index));
        members[index].incarnation = index + 1;
        members[index].domain = DomainId("domain-" + std::to_string(index % 3));
        members[index].peerAddress = "127.0.0.1:" + std::to_string(7000 + index);
    }
    return members;
}

std::size_t ownerOf(const RequestKey &key, const std::vector<MemberInfo> &members)
{
    std::size_t best = 0;
    for (std::size_t index = 1; index < members.size(); ++index) {
        if (outranks(key, members[index].name, members[best].name)) {
            best = index;
        }
    }
    return best;
}

// Share of keys per owner over a long time, and the load of the busiest owner among 1,000 keys, as of one second.
void printSkew(std::size_t count)
{
    const std::vector<MemberInfo> members = makeMembers(count);
    std::vector<std::uint64_t> total(count);
    std::vector<std::uint64_t> batch(count);
    double batchPeak = 0;
    double batchPeakSum = 0;
    for (std::uint64_t number = 0; number < Keys; ++number) {
        const std::size_t owner = ownerOf(keyNumber(number), members);
        ++total[owner];
        ++batch[owner];
        if ((number + 1) % SecondBatch == 0) {
            const double peak = static_cast<double>(*std::max_element(batch.begin(), batch.end())) * static_cast<double>(count)
                / static_cast<double>(SecondBatch);
            batchPeak = std::max(batchPeak, peak);
            batchPeakSum += peak;
            std::fill(batch.begin(), batch.end(), 0);
        }
    }
    const double mean = static_cast<double>(Keys) / static_cast<double>(count);
    const auto [least, most] = std::minmax_element(total.begin(), total.end());
    std::cout << std::fixed << std::setprecision(3) << std::setw(4) << count << " instances: least " << static_cast<double>(*least) / mean
              << ", most " << static_cast<double>(*most) / mean << " of the mean; among 1,000 keys the busiest has "
              << batchPeakSum * static_cast<double>(SecondBatch) / static_cast<double>(Keys) << " on average, " << batchPeak
              << " at worst\n";
}

// Time to decide a new key, relative to a service with 4 instances. The members are known but nobody answers.
double decisionTime(std::size_t count)
{
    ManualClock clock;
    OwnershipOptions options;
    const std::vector<MemberInfo> members = makeMembers(count);
    options.self = members.front();
    options.maximumRetention = Duration{1};
    options.hostListLag = Duration{0};
    options.mechanisms.joinAcknowledgement = false;
    options.mechanisms.coldStartWait = false;
    options.mechanisms.claimAtWitness = false;
    Ownership ownership(options, clock);
    HostList list;
    list.version = 1;
    list.members = members;
    ownership.handle(ServiceListRead{list});
    for (const MemberInfo &member : members) {
        const MemberAddress address{
            .id = {.name = member.name, .incarnation = member.incarnation}, .domain = member.domain, .peerAddress = member.peerAddress};
        if (member.name != options.self.name) {
            ownership.handle(OwnershipMessageReceived{
                .from = member.name,
                .message = OwnershipProbe{.sender = address, .stage = OwnerStage::Joining, .answer = true, .terms = {}}});
            ownership.handle(OwnershipMessageReceived{
                .from = member.name, .message = Join{.sender = address, .terms = {{.term = 1, .witnesses = {}}}, .excluded = {}}});
        }
    }
    ownership.handle(OwnershipTick{});
    constexpr int calls = 20'000;
    const auto begin = std::chrono::steady_clock::now();
    for (int call = 0; call < calls; ++call) {
        ownership.handle(KeyedCall{.call = static_cast<CallId>(call),
                                   .key = keyNumber(static_cast<std::uint64_t>(call)),
                                   .retention = std::chrono::seconds(100),
                                   .deadline = clock.now() + std::chrono::seconds(1),
                                   .from = {},
                                   .arrivedAt = clock.now()});
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begin;
    return spent.count() / calls;
}

} // namespace

int main()
{
    bench::printClaimTraffic();
    std::cout << "skew of rendezvous hashing over " << Keys << " keys\n";
    for (const std::size_t count : {3U, 4U, 31U}) {
        printSkew(count);
    }
    const double base = decisionTime(4);
    std::cout << "time of a decision on a new key, relative to 4 instances\n";
    for (const std::size_t count : {4U, 31U, 100U, 1000U}) {
        std::cout << std::setw(4) << count << " instances: " << std::setprecision(2) << decisionTime(count) / base << "\n";
    }
    return 0;
}
