#include "lab/faults/soakjudge.h"

#include "core/base/hashing.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace wisteriafork::lab;

namespace {

SoakRequest booking(unsigned status)
{
    return {.id = "c1-1", .method = "POST", .target = "/s0/book/c1-1", .bodyHash = hash64("body"), .sentWhole = true, .status = status};
}

JournalRun runOf(const SoakRequest &request)
{
    return {.requestId = request.id, .method = request.method, .target = request.target, .bodyHash = request.bodyHash};
}

} // namespace

TEST_GROUP(SoakJudge)
{
    std::vector<SoakRequest> requests;
    std::vector<ServerJournal> journals{{.server = "s0-0"}, {.server = "s0-1"}};

    // Rules of the findings, in alphabetical order, separated by spaces.
    std::string judge(SoakMode mode = SoakMode::Mixed)
    {
        std::vector<std::string> rules;
        for (const SoakFinding &finding : judgeSoak(requests, journals, mode)) {
            rules.push_back(finding.rule);
        }
        std::ranges::sort(rules);
        std::string text;
        for (const std::string &rule : rules) {
            text += (text.empty() ? "" : " ") + rule;
        }
        return text;
    }
};

TEST(SoakJudge, AcceptsRequestsThatRanOnceOrWereRefusedOrAreUnknown)
{
    requests = {booking(200), booking(503), booking(502)};
    requests[1].id = "c1-2";
    requests[2].id = "c1-3";
    journals[0].content.runs = {runOf(requests[0]), runOf(requests[2])};

    STRCMP_EQUAL("", judge().c_str());
}

TEST(SoakJudge, ReportsARefusedRequestThatRan)
{
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
        requests = {booking(status)};
        journals[1].content.runs = {runOf(requests[0])};

        STRCMP_EQUAL("REFUSED", judge().c_str());
    }
}

TEST(SoakJudge, ReportsARefusedCallOfAServerThatRan)
{
    requests = {booking(200)};
    journals[0].content = {.runs = {runOf(requests[0])}, .calls = {{.requestId = "c1-1.s0-0-1", .status = 503}}};
    journals[1].content.runs = {{.requestId = "c1-1.s0-0-1", .method = "POST", .target = "/s1/book", .bodyHash = hash64("")}};

    STRCMP_EQUAL("REFUSED", judge().c_str());
}

TEST(SoakJudge, ReportsABookingThatRanTwiceButNotARead)
{
    requests = {booking(200), booking(200)};
    requests[1].id = "c1-2";
    requests[1].method = "GET";
    journals[0].content.runs = {runOf(requests[0]), runOf(requests[1])};
    journals[1].content.runs = {runOf(requests[0]), runOf(requests[1])};

    STRCMP_EQUAL("TWICE", judge().c_str());
}

TEST(SoakJudge, ReportsARunThatNoClientAskedForOrWithAnotherBody)
{
    requests = {booking(502)};
    JournalRun changed = runOf(requests[0]);
    changed.bodyHash = hash64("part of the body");
    JournalRun unknown = runOf(requests[0]);
    unknown.requestId = "c9-9";
    journals[0].content.runs = {changed, unknown};

    STRCMP_EQUAL("UNASKED UNASKED", judge().c_str());
}

TEST(SoakJudge, ReportsAResponseThatIsNotThatOfTheRequest)
{
    requests = {booking(200)};
    requests[0].fault = "the response is to another request";
    journals[0].content.runs = {runOf(requests[0])};

    STRCMP_EQUAL("MIXED", judge().c_str());
}

TEST(SoakJudge, ReportsRequestsWithoutAResponseOnlyIfAllStopsArePlanned)
{
    requests = {booking(0), booking(0)};
    requests[0].connectionEnded = true;
    requests[1].id = "c1-2";
    requests[1].timedOut = true;
    journals[0].content.runs = {runOf(requests[0])};

    STRCMP_EQUAL("LOST SILENT", judge(SoakMode::Planned).c_str());
    STRCMP_EQUAL("", judge(SoakMode::Mixed).c_str());
}

// Guards against requests that waited at a node, never ran, and lost their connection without an answer.
TEST(SoakJudge, ReportsARequestThatWaitedAndLostItsConnectionButNotOneThatCrossedItsEnd)
{
    requests = {booking(0), booking(0), booking(0)};
    for (std::size_t number = 0; number < requests.size(); ++number) {
        requests[number].id = "c1-" + std::to_string(number);
        requests[number].connectionEnded = true;
        requests[number].endedInOrder = true;
        requests[number].waited = std::chrono::milliseconds(900);
    }
    requests[1].waited = std::chrono::milliseconds(5);
    // Reset by the link, because no node was listening.
    requests[2].endedInOrder = false;

    STRCMP_EQUAL("LOST", judge(SoakMode::Waits).c_str());
}
