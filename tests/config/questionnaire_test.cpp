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

// A valid questionnaire with one service. The tests make single answers invalid.
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

// A service with one read operation that calls other services.
json serviceWithCalls(const std::string &id, const std::vector<std::string> &calls)
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

// All findings as text, each with its severity and pointer, separated by " | ". Checks that there is a questionnaire exactly if there are
// no errors.
std::string findingsText(const json &answers)
{
    const QuestionnaireCheck check = checkQuestionnaire(answers.dump(1));
    std::string text;
    for (const Finding &finding : check.findings) {
        text += (text.empty() ? "" : " | ") + std::string(severityName(finding.severity)) + " " + finding.pointer + " " + finding.message;
    }
    CHECK_EQUAL(hasErrors(check.findings), !check.questionnaire.has_value());
    return text;
}

// Expects a single finding, whose text starts with `expected`.
void expectSingleFinding(const std::string &expected, const json &answers)
{
    const std::string found = findingsText(answers);
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

// Guards against findings for valid answers. The other tests rely on these answers having none.
TEST(Questionnaire, acceptsValidAnswers)
{
    STRCMP_EQUAL("", findingsText(m_answers).c_str());
}

// Guards against duplicate names that are not reported or are reported at the wrong place.
TEST(Questionnaire, findsNamesThatAreUsedTwice)
{
    m_answers["failureDomains"][1] = "osijek";
    expectSingleFinding("error /failureDomains/1 \"osijek\" is already used at /failureDomains/0", m_answers);
    m_answers = validAnswers();
    m_answers["services"][0]["operations"][1]["id"] = "book";
    expectSingleFinding("error /services/0/operations/1/id \"book\" is already used", m_answers);
    m_answers = validAnswers();
    m_answers["services"].push_back(serviceWithCalls("a", {}));
    m_answers["services"][1]["pathPrefix"] = "/b/";
    m_answers["services"][1]["operations"][0]["pathPrefix"] = "/b/x";
    expectSingleFinding("error /services/1/id \"a\" is already used at /services/0/id", m_answers);
}

// Guards against paths that match two services or two operations.
TEST(Questionnaire, findsOverlappingPaths)
{
    m_answers["services"].push_back(serviceWithCalls("b", {}));
    m_answers["services"][1]["pathPrefix"] = "/a/b/";
    m_answers["services"][1]["operations"][0]["pathPrefix"] = "/a/b/x";
    expectSingleFinding("error /services/1/pathPrefix overlaps with the path prefix \"/a/\"", m_answers);
    m_answers = validAnswers();
    json second = m_answers["services"][0]["operations"][1];
    second["id"] = "second";
    m_answers["services"][0]["operations"].push_back(second);
    expectSingleFinding("error /services/0/operations/2/pathPrefix overlaps: same method", m_answers);
    m_answers["services"][0]["operations"][2]["pathPrefix"] = "/a/records-old";
    STRCMP_EQUAL("", findingsText(m_answers).c_str());
    m_answers["services"][0]["operations"][2]["pathPrefix"] = "/a/records/old";
    STRCMP_EQUAL("", findingsText(m_answers).c_str());
    m_answers["services"][0]["operations"][2]["pathPrefix"] = "/other";
    expectSingleFinding("error /services/0/operations/2/pathPrefix must begin with", m_answers);
}

// Guards against call cycles, which no limit on attempts could end.
TEST(Questionnaire, findsUnknownServicesAndCycles)
{
    m_read["calls"] = {"missing"};
    expectSingleFinding("error /services/0/operations/1/calls/0 calls the unknown service \"missing\"", m_answers);
    m_read["calls"] = {"a"};
    expectSingleFinding("error /services/0/operations/1/calls/0 calls form a cycle: a -> a", m_answers);
    m_read["calls"] = {"b"};
    m_answers["services"].push_back(serviceWithCalls("b", {"c"}));
    m_answers["services"].push_back(serviceWithCalls("c", {"a"}));
    expectSingleFinding("error /services/2/operations/0/calls/0 calls form a cycle: a -> b -> c -> a", m_answers);
}

// Guards against accepting a call chain that is deeper than the system is designed for without a warning.
TEST(Questionnaire, warnsOfCallChainsDeeperThanDesignedFor)
{
    json services = json::array();
    for (int depth = 0; depth < 28; ++depth) {
        std::vector<std::string> calls;
        if (depth < 27) {
            calls.push_back("s" + std::to_string(depth + 1));
        }
        services.push_back(serviceWithCalls("s" + std::to_string(depth), calls));
    }
    m_answers["services"] = services;
    expectSingleFinding("warning /services/0 the longest chain of calls from here is 28 services deep", m_answers);
}

// Guards against contradictory answers that are not reported.
TEST(Questionnaire, findsContradictionsInAnOperation)
{
    m_booking["importance"] = "low";
    expectSingleFinding("error /services/0/operations/0/importance", m_answers);
    m_booking["importance"] = "high";
    m_booking["targetLatencyMs"] = 1001;
    expectSingleFinding("error /services/0/operations/0/targetLatencyMs the target (1001 ms) is longer than callers wait (1000 ms)",
                        m_answers);
    m_booking["targetLatencyMs"] = 1000;
    m_service["instances"] = 1;
    expectSingleFinding("warning /services/0/instances with one instance", m_answers);
    m_service["instances"] = 3;
    m_read["importance"] = "high";
    expectSingleFinding("warning /services/0/operations/1/importance", m_answers);
    m_read["importance"] = "normal";
    m_service["connections"] = 9;
    expectSingleFinding("error /services/0/connections fewer connections (9) than slots (10)", m_answers);
    m_service["connections"] = 10;
    m_booking["method"] = "GET";
    expectSingleFinding("error /services/0/operations/0/method a GET request must be idempotent", m_answers);
    m_booking["method"] = "POST";
    m_booking["purpose"] = "read";
    expectSingleFinding("error /services/0/operations/0/idempotent an operation that only reads", m_answers);
}

// Guards against a check that stops at the first error, and against findings with a wrong line.
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

// Guards against a committed sample configuration that differs from the one generated from its questionnaire, and against output that
// changes between runs.
TEST(Questionnaire, samplesGenerateTheCommittedConfigurations)
{
    for (const std::string name : {"agency", "hagen"}) {
        const GenerationResult result = generateConfiguration(readSample(name + ".json"), 1);
        LONGS_EQUAL(0, result.findings.size());
        CHECK(result.configuration.has_value());
        STRCMP_EQUAL(readSample(name + ".configuration.json").c_str(), configurationToJson(*result.configuration).c_str());
    }
}

// Guards against bookings that are shed together with the reads.
TEST(Questionnaire, callClassFollowsPurposeAndImportance)
{
    for (const Purpose purpose : {Purpose::Booking, Purpose::Order, Purpose::Repair}) {
        CHECK(callClassFor(purpose, Importance::Low) == CallClass::Critical);
    }
    CHECK(callClassFor(Purpose::Read, Importance::High) == CallClass::Read);
    CHECK(callClassFor(Purpose::Read, Importance::Low) == CallClass::Bulk);
    CHECK(callClassFor(Purpose::Download, Importance::High) == CallClass::Bulk);
}

// Guards against a version that does not increase: nodes would ignore the configuration.
TEST(Questionnaire, chosenVersionsIncrease)
{
    CHECK(chooseVersion({}, {}) == 1U);
    CHECK(chooseVersion({}, 7) == 8U);
    CHECK(chooseVersion(9, 7) == 9U);
    CHECK_FALSE(chooseVersion(7, 7).has_value());
    CHECK_FALSE(chooseVersion(0, {}).has_value());
}

// Guards against texts for which the check needs memory or time that grows with the square of their length.
TEST(Questionnaire, boundsFindingsAndMemoryForHostileText)
{
    json services = json::array();
    for (int count = 0; count < 3000; ++count) {
        services.push_back({{"id", "s" + std::to_string(count)}, {"pathPrefix", "/same/"}});
    }
    const QuestionnaireCheck overlaps = checkQuestionnaire(json{{"services", services}}.dump());
    CHECK_FALSE(overlaps.questionnaire.has_value());
    LONGS_EQUAL(1000, overlaps.findings.size());

    json answersWithWarnings = validAnswers();
    const json read = answersWithWarnings["services"][0]["operations"][1];
    for (int count = 0; count < 1500; ++count) {
        json &operations = answersWithWarnings["services"][0]["operations"];
        operations.push_back(read);
        operations.back()["id"] = "r" + std::to_string(count);
        operations.back()["pathPrefix"] = "/a/x" + std::to_string(count) + "/";
        operations.back()["importance"] = "high";
    }
    const QuestionnaireCheck onlyWarnings = checkQuestionnaire(answersWithWarnings.dump());
    CHECK(onlyWarnings.questionnaire.has_value());
    LONGS_EQUAL(1000, onlyWarnings.findings.size());
    CHECK_FALSE(hasErrors(onlyWarnings.findings));

    std::string textWithLongName = "{\"" + std::string(500'000, 'n') + "\": [0";
    for (int count = 0; count < 100'000; ++count) {
        textWithLongName += ",0";
    }
    const QuestionnaireCheck longName = checkQuestionnaire(textWithLongName + "]}");
    LONGS_EQUAL(1, longName.findings.size());
    STRCMP_EQUAL("names are too long for the number of values below them", longName.findings[0].message.c_str());
}

// Guards against damaged or hostile texts that crash the check or give a configuration despite errors.
TEST(Questionnaire, mutatedTextNeverCrashesAndNeverPassesWithErrors)
{
    const std::string sample = readSample("agency.json");
    CHECK_FALSE(sample.empty());
    CHECK(rc::check("mutated questionnaire", [&sample] {
        std::string text = sample;
        for (int count = *rc::gen::inRange(1, 6); count > 0; --count) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto length = *rc::gen::inRange<std::size_t>(0, 12);
            const auto insertion
                = *rc::gen::element<std::string>("", "{", "[", "]", "\"", "0", "-1e999", "null", "\xff", "\n", ",\"a\":1", "true");
            text.replace(position, length, insertion);
        }
        const GenerationResult result = generateConfiguration(text, 2);
        RC_ASSERT(result.configuration.has_value() != hasErrors(result.findings));
        for (const Finding &finding : result.findings) {
            RC_ASSERT(finding.line <= 1 + static_cast<unsigned>(std::count(text.begin(), text.end(), '\n')));
        }
    }));
}

// Guards against a diff that reports changes that do not exist or omits changes.
TEST(Questionnaire, diffReportsExactlyTheChanges)
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
