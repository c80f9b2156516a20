#include "config/samplefile.h"
#include "core/config/configurationdiff.h"
#include "core/config/configurationdocument.h"
#include "core/config/generator.h"
#include "core/config/questionnairecheck.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using nlohmann::json;

namespace {

// A valid questionnaire with one service that the tests make invalid in one point each.
json validAnswers()
{
    const json book = {{"id", "book"},         {"method", "POST"},    {"pathPrefix", "/a/bookings"}, {"purpose", "booking"},
                       {"importance", "high"}, {"idempotent", false}, {"callersWaitMs", 1000}};
    const json read = {{"id", "read"},           {"method", "GET"},    {"pathPrefix", "/a/records"}, {"purpose", "read"},
                       {"importance", "normal"}, {"idempotent", true}, {"callersWaitMs", 1000}};
    const json service
        = {{"id", "a"}, {"pathPrefix", "/a/"}, {"instances", 3}, {"slots", 10}, {"connections", 20}, {"operations", {book, read}}};
    return {{"name", "test"}, {"failureDomains", {"osijek", "vukovar"}}, {"services", {service}}};
}

// A service with one read that calls other services.
json readingService(const std::string &id, const std::vector<std::string> &calls)
{
    json service = validAnswers()["services"][0];
    service["id"] = id;
    service["pathPrefix"] = "/" + id + "/";
    json read = service["operations"][1];
    read["pathPrefix"] = "/" + id + "/records";
    read["calls"] = calls;
    service["operations"] = json::array({read});
    return service;
}

// Text of the only finding, with its severity and pointer.
std::string onlyFinding(const json &answers)
{
    const QuestionnaireCheck check = checkQuestionnaire(answers.dump(1));
    std::string text;
    for (const Finding &finding : check.findings) {
        text += (text.empty() ? "" : " | ") + std::string(severityName(finding.severity)) + " " + finding.pointer + " " + finding.message;
    }
    CHECK_EQUAL(hasErrors(check.findings), !check.questionnaire.has_value());
    return text;
}

void expectFinding(const std::string &expected, const json &answers)
{
    const std::string found = onlyFinding(answers);
    CHECK_TEXT(found.starts_with(expected), ("expected \"" + expected + "\", found \"" + found + "\"").c_str());
    CHECK_TEXT(found.find(" | ") == std::string::npos, ("expected one finding, found " + found).c_str());
}

} // namespace

TEST_GROUP(Questionnaire)
{
    json m_answers = validAnswers();
    json &m_service = m_answers["services"][0];
    json &m_booking = m_service["operations"][0];
    json &m_read = m_service["operations"][1];
};

// Guards against findings on answers that are right, which would make the findings of the other tests worthless.
TEST(Questionnaire, acceptsValidAnswers)
{
    STRCMP_EQUAL("", onlyFinding(m_answers).c_str());
}

// Guards against a rule that does not see its case or that names another place.
TEST(Questionnaire, findsNamesThatAreUsedTwice)
{
    m_answers["failureDomains"][1] = "osijek";
    expectFinding("error /failureDomains/1 \"osijek\" is already used at /failureDomains/0", m_answers);
    m_answers = validAnswers();
    m_answers["services"][0]["operations"][1]["id"] = "book";
    expectFinding("error /services/0/operations/1/id \"book\" is already used", m_answers);
    m_answers = validAnswers();
    m_answers["services"].push_back(readingService("a", {}));
    m_answers["services"][1]["pathPrefix"] = "/b/";
    m_answers["services"][1]["operations"][0]["pathPrefix"] = "/b/x";
    expectFinding("error /services/1/id \"a\" is already used at /services/0/id", m_answers);
}

// Guards against a request that leads to two services or to two operations.
TEST(Questionnaire, findsOverlappingPaths)
{
    m_answers["services"].push_back(readingService("b", {}));
    m_answers["services"][1]["pathPrefix"] = "/a/b/";
    m_answers["services"][1]["operations"][0]["pathPrefix"] = "/a/b/x";
    expectFinding("error /services/1/pathPrefix overlaps with the path prefix \"/a/\"", m_answers);
    m_answers = validAnswers();
    json second = m_answers["services"][0]["operations"][1];
    second["id"] = "second";
    m_answers["services"][0]["operations"].push_back(second);
    expectFinding("error /services/0/operations/2/pathPrefix overlaps: same method", m_answers);
    m_answers["services"][0]["operations"][2]["pathPrefix"] = "/a/records-old";
    STRCMP_EQUAL("", onlyFinding(m_answers).c_str());
    m_answers["services"][0]["operations"][2]["pathPrefix"] = "/a/records/old";
    STRCMP_EQUAL("", onlyFinding(m_answers).c_str());
    m_answers["services"][0]["operations"][2]["pathPrefix"] = "/other";
    expectFinding("error /services/0/operations/2/pathPrefix must begin with", m_answers);
}

// Guards against chains that call themselves, which no bound on attempts could end.
TEST(Questionnaire, findsUnknownServicesAndCycles)
{
    m_read["calls"] = {"missing"};
    expectFinding("error /services/0/operations/1/calls/0 calls the unknown service \"missing\"", m_answers);
    m_read["calls"] = {"a"};
    expectFinding("error /services/0/operations/1/calls/0 calls form a cycle: a -> a", m_answers);
    m_read["calls"] = {"b"};
    m_answers["services"].push_back(readingService("b", {"c"}));
    m_answers["services"].push_back(readingService("c", {"a"}));
    expectFinding("error /services/2/operations/0/calls/0 calls form a cycle: a -> b -> c -> a", m_answers);
}

// Guards against a chain that is deeper than the design, without anyone being told.
TEST(Questionnaire, warnsOfChainsDeeperThanTheDesign)
{
    json services = json::array();
    for (int depth = 0; depth < 28; ++depth) {
        std::vector<std::string> calls;
        if (depth < 27) {
            calls.push_back("s" + std::to_string(depth + 1));
        }
        services.push_back(readingService("s" + std::to_string(depth), calls));
    }
    m_answers["services"] = services;
    expectFinding("warning /services/0 the longest chain of calls from here is 28 services deep", m_answers);
}

// Guards against answers that contradict one another.
TEST(Questionnaire, findsContradictionsInAnOperation)
{
    m_booking["importance"] = "low";
    expectFinding("error /services/0/operations/0/importance", m_answers);
    m_booking["importance"] = "high";
    m_booking["targetLatencyMs"] = 1001;
    expectFinding("error /services/0/operations/0/targetLatencyMs the target (1001 ms) is longer than callers wait (1000 ms)", m_answers);
    m_booking["targetLatencyMs"] = 1000;
    m_service["instances"] = 1;
    expectFinding("warning /services/0/instances with one instance", m_answers);
    m_service["instances"] = 3;
    m_read["importance"] = "high";
    expectFinding("warning /services/0/operations/1/importance", m_answers);
    m_read["importance"] = "normal";
    m_service["connections"] = 9;
    expectFinding("error /services/0/connections fewer connections (9) than slots (10)", m_answers);
    m_service["connections"] = 10;
    m_booking["method"] = "GET";
    expectFinding("error /services/0/operations/0/method a GET request must be idempotent", m_answers);
    m_booking["method"] = "POST";
    m_booking["purpose"] = "read";
    expectFinding("error /services/0/operations/0/idempotent an operation that only reads", m_answers);
}

// Guards against a check that stops at the first problem, and against lines that do not lead to the place.
TEST(Questionnaire, reportsEverythingAtOnceWithLines)
{
    const std::string text = "{\n"
                             "  \"name\": \"Has Space\",\n"
                             "  \"failureDomains\": [],\n"
                             "  \"workspaces\": [\"a b\"],\n"
                             "  \"host\":\n"
                             "    \"UPPER.example\",\n"
                             "  \"colour\": 1,\n"
                             "  \"services\": 7\n"
                             "}\n";

    const QuestionnaireCheck check = checkQuestionnaire(text);

    const std::vector<std::pair<unsigned, std::string>> expected{{2, "/name"}, {3, "/failureDomains"}, {4, "/workspaces/0"},
                                                                 {5, "/host"}, {7, "/colour"},         {8, "/services"}};
    std::vector<std::pair<unsigned, std::string>> found;
    for (const Finding &finding : check.findings) {
        found.emplace_back(finding.line, finding.pointer);
    }
    LONGS_EQUAL(expected.size(), found.size());
    CHECK(expected == found);
    CHECK_FALSE(check.questionnaire.has_value());
}

// Guards against a published sample that differs from what its questionnaire gives, and against output that changes between runs.
TEST(Questionnaire, samplesGiveTheCommittedConfigurations)
{
    for (const std::string name : {"agency", "hagen"}) {
        const GenerationResult result = generateConfiguration(readSample(name + ".json"), 1);
        LONGS_EQUAL(0, result.findings.size());
        CHECK(result.configuration.has_value());
        STRCMP_EQUAL(readSample(name + ".configuration.json").c_str(), configurationToJson(*result.configuration).c_str());
    }
}

// Guards against a booking that would be shed with the reads.
TEST(Questionnaire, classesFollowThePurpose)
{
    for (const Purpose purpose : {Purpose::Booking, Purpose::Order, Purpose::Repair}) {
        CHECK(classOf(purpose, Importance::Low) == CallClass::Critical);
    }
    CHECK(classOf(Purpose::Read, Importance::High) == CallClass::Read);
    CHECK(classOf(Purpose::Read, Importance::Low) == CallClass::Bulk);
    CHECK(classOf(Purpose::Download, Importance::High) == CallClass::Bulk);
}

// Guards against a version that goes back, which no node would take over.
TEST(Questionnaire, versionsOnlyGrow)
{
    CHECK(chooseVersion({}, {}) == 1U);
    CHECK(chooseVersion({}, 7) == 8U);
    CHECK(chooseVersion(9, 7) == 9U);
    CHECK_FALSE(chooseVersion(7, 7).has_value());
    CHECK_FALSE(chooseVersion(0, {}).has_value());
}

// Guards against a text whose check takes memory or time that grows with the square of its size.
TEST(Questionnaire, boundsTheWorkForHostileText)
{
    json services = json::array();
    for (int count = 0; count < 3000; ++count) {
        services.push_back({{"id", "s" + std::to_string(count)}, {"pathPrefix", "/same/"}});
    }
    const QuestionnaireCheck overlaps = checkQuestionnaire(json{{"services", services}}.dump());
    CHECK_FALSE(overlaps.questionnaire.has_value());
    LONGS_EQUAL(1000, overlaps.findings.size());

    json warned = validAnswers();
    const json read = warned["services"][0]["operations"][1];
    for (int count = 0; count < 1500; ++count) {
        json &operations = warned["services"][0]["operations"];
        operations.push_back(read);
        operations.back()["id"] = "r" + std::to_string(count);
        operations.back()["pathPrefix"] = "/a/x" + std::to_string(count) + "/";
        operations.back()["importance"] = "high";
    }
    const QuestionnaireCheck onlyWarnings = checkQuestionnaire(warned.dump());
    CHECK(onlyWarnings.questionnaire.has_value());
    LONGS_EQUAL(1000, onlyWarnings.findings.size());
    CHECK_FALSE(hasErrors(onlyWarnings.findings));

    std::string wide = "{\"" + std::string(500'000, 'n') + "\": [0";
    for (int count = 0; count < 100'000; ++count) {
        wide += ",0";
    }
    const QuestionnaireCheck longName = checkQuestionnaire(wide + "]}");
    LONGS_EQUAL(1, longName.findings.size());
    STRCMP_EQUAL("names are too long for the number of values below them", longName.findings[0].message.c_str());
}

// Guards against damaged or hostile text that crashes the check or yields a configuration in spite of errors.
TEST(Questionnaire, mutatedTextNeverCrashesAndNeverPassesWithErrors)
{
    const std::string sample = readSample("agency.json");
    CHECK_FALSE(sample.empty());
    CHECK(rc::check("mutated questionnaire", [&sample] {
        std::string text = sample;
        for (int count = *rc::gen::inRange(1, 6); count > 0; --count) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto length = *rc::gen::inRange<std::size_t>(0, 12);
            const auto insert
                = *rc::gen::element<std::string>("", "{", "[", "]", "\"", "0", "-1e999", "null", "\xff", "\n", ",\"a\":1", "true");
            text.replace(at, length, insert);
        }
        const GenerationResult result = generateConfiguration(text, 2);
        RC_ASSERT(result.configuration.has_value() != hasErrors(result.findings));
        for (const Finding &finding : result.findings) {
            RC_ASSERT(finding.line <= 1 + static_cast<unsigned>(std::count(text.begin(), text.end(), '\n')));
        }
    }));
}

// Guards against a diff that invents or misses changes.
TEST(Questionnaire, diffNamesExactlyTheChanges)
{
    const Configuration before = *generateConfiguration(readSample("hagen.json"), 1).configuration;
    CHECK(compareConfigurations(before, before).empty());
    Configuration after = before;
    std::reverse(after.services.begin(), after.services.end());
    CHECK(compareConfigurations(before, after).empty());
    after = before;
    after.version = 2;
    after.services[1].slots = 60;
    after.services[0].operations[1].callerWait = std::chrono::milliseconds(9000);
    after.workspaces.pop_back();

    const auto changes = compareConfigurations(before, after);

    STRCMP_EQUAL("changed services/bestilling/operations/read-order/callerWaitMs: 8000 -> 9000\n"
                 "changed services/katalog/slots: 100 -> 60\n"
                 "changed version: 1 -> 2\n"
                 "changed workspaces: [\"customers\",\"physiotherapists\"] -> [\"customers\"]\n",
                 describeChanges(changes).c_str());
    LONGS_EQUAL(4, json::parse(changesToJson(changes)).size());
}
