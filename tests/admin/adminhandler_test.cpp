#include "admin/adminhandler.h"
#include "admin/dryrun.h"
#include "admin/runningserver.h"
#include "admin/schema.h"
#include "config/samplefile.h"
#include "core/config/generator.h"

#include <set>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using nlohmann::json;

namespace {

const json &schemaDocument()
{
    static const json document = json::parse(administrationSchema());
    return document;
}

bool isOfType(const json &value, const std::string &type)
{
    return (type == "string" && value.is_string()) || (type == "integer" && value.is_number_integer())
        || (type == "number" && value.is_number()) || (type == "boolean" && value.is_boolean()) || (type == "null" && value.is_null())
        || (type == "object" && value.is_object()) || (type == "array" && value.is_array());
}

std::string inside(std::string place, const std::string &name)
{
    return place.append("/").append(name);
}

// First place where a value differs from a schema; empty if there is none. Knows the keywords that openapi.json uses.
std::string mismatch(const json &value, const json &schema, const std::string &place = "")
{
    if (schema.contains("$ref")) {
        const std::string reference = schema["$ref"];
        return mismatch(value, schemaDocument()["components"]["schemas"].at(reference.substr(reference.rfind('/') + 1)), place);
    }
    if (schema.contains("type")) {
        const json types = schema["type"].is_array() ? schema["type"] : json::array({schema["type"]});
        bool matches = false;
        for (const std::string type : types) {
            matches = matches || isOfType(value, type);
        }
        if (!matches) {
            return place + " is of another type";
        }
    }
    if (schema.contains("enum") && std::find(schema["enum"].begin(), schema["enum"].end(), value) == schema["enum"].end()) {
        return place + " has a value that is not listed";
    }
    for (const std::string name : schema.value("required", json::array())) {
        if (!value.contains(name)) {
            return inside(place, name) + " is missing";
        }
    }
    static const json none = json::object();
    for (const auto &[name, member] : (value.is_object() ? value : none).items()) {
        if (schema.contains("properties") && schema["properties"].contains(name)) {
            std::string inner = mismatch(member, schema["properties"][name], inside(place, name));
            if (!inner.empty()) {
                return inner;
            }
        } else if (!schema.value("additionalProperties", true)) {
            return inside(place, name) + " is not in the schema";
        }
    }
    for (std::size_t index = 0; value.is_array() && schema.contains("items") && index < value.size(); ++index) {
        std::string inner = mismatch(value[index], schema["items"], inside(place, std::to_string(index)));
        if (!inner.empty()) {
            return inner;
        }
    }
    return {};
}

// Compares the body of a response with the schema that the document gives for its path and status.
void expectSchema(const AdminRequest &request, const AdminResponse &response)
{
    std::string method = request.method;
    std::transform(method.begin(), method.end(), method.begin(), [](unsigned char character) { return std::tolower(character); });
    const std::string path = request.target.substr(0, request.target.find('?'));
    const json &responses = schemaDocument()["paths"].at(path).at(method)["responses"];
    const json &schema = responses.at(std::to_string(response.status)).at("content").at("application/json").at("schema");
    STRCMP_EQUAL("", mismatch(json::parse(response.body), schema).c_str());
}

} // namespace

TEST_GROUP(AdminHandler)
{
    FakeSource m_source;
    AdminHandler m_handler{testOptions().tokens, m_source};

    AdminResponse ask(const std::string &method, const std::string &target, const std::string &secret, const std::string &body = {})
    {
        const AdminRequest request{
            .method = method, .target = target, .authorization = secret.empty() ? "" : "Bearer " + secret, .body = body};
        return m_handler.handle(request);
    }

    unsigned status(const std::string &method, const std::string &target, const std::string &secret)
    {
        return ask(method, target, secret).status;
    }
};

// Guards against a path that is served without a token or with a token that is only similar to a known one.
TEST(AdminHandler, needsAKnownTokenForEachPath)
{
    for (const AdminRoute &route : adminRoutes()) {
        for (const std::string secret : {"", "reader-secret-0002", "reader-secret-000", "reader-secret-0001x", " reader-secret-0001"}) {
            LONGS_EQUAL(401, status(std::string(route.method), std::string(route.path), secret));
        }
    }
    LONGS_EQUAL(401, status("GET", "/unknown", ""));
    LONGS_EQUAL(401, m_handler.handle({.method = "GET", .target = "/v1/status", .authorization = "Basic reader-secret-0001"}).status);
    LONGS_EQUAL(200, m_handler.handle({.method = "GET", .target = "/v1/status", .authorization = "bearer reader-secret-0001"}).status);
}

// Guards against a reader that drains a node.
TEST(AdminHandler, needsOperatorRightsToDrain)
{
    LONGS_EQUAL(403, status("POST", "/v1/drain", "reader-secret-0001"));
    CHECK_FALSE(m_source.draining);
    LONGS_EQUAL(202, status("POST", "/v1/drain", "operator-secret-01"));
    CHECK(m_source.draining);
    LONGS_EQUAL(403, status("POST", "/v1/undrain", "reader-secret-0001"));
    LONGS_EQUAL(202, status("POST", "/v1/undrain", "operator-secret-01"));
    CHECK_FALSE(m_source.draining);
}

// Guards against a token that is limited to a workspace and sees or stops what belongs to others.
TEST(AdminHandler, keepsLimitedTokensToTheirWorkspaces)
{
    const std::string secret = "growers-secret-001";
    for (const AdminRoute &route : adminRoutes()) {
        if (!route.forLimitedTokens) {
            LONGS_EQUAL(403, status(std::string(route.method), std::string(route.path), secret));
        }
    }
    CHECK_FALSE(m_source.draining);
    LONGS_EQUAL(403, status("GET", "/v1/outcomes?workspace=inspectors", secret));
    STRCMP_EQUAL(ask("GET", "/v1/outcomes?workspace=inspectors", secret).body.c_str(),
                 ask("GET", "/v1/outcomes?workspace=no-such-workspace", secret).body.c_str());

    const json own = json::parse(ask("GET", "/v1/outcomes", secret).body);
    LONGS_EQUAL(1, own["rows"].size());
    STRCMP_EQUAL("growers", own["rows"][0]["workspace"].get<std::string>().c_str());
    LONGS_EQUAL(0, own["lastOverloads"].size());
    LONGS_EQUAL(2, json::parse(ask("GET", "/v1/outcomes", "reader-secret-0001").body)["rows"].size());
    LONGS_EQUAL(1, json::parse(ask("GET", "/v1/outcomes?workspace=grow%65rs", "reader-secret-0001").body)["rows"].size());
}

// Guards against malformed targets that are served as something else.
TEST(AdminHandler, refusesMalformedTargets)
{
    const std::string secret = "reader-secret-0001";
    LONGS_EQUAL(404, status("GET", "/v1/status/", secret));
    LONGS_EQUAL(404, status("GET", "", secret));
    LONGS_EQUAL(405, status("POST", "/v1/status", secret));
    for (const std::string target : {"/v1/status?workspace=growers", "/v1/outcomes?workspace=", "/v1/outcomes?workspace=%4",
                                     "/v1/outcomes?workspace=%zz", "/v1/outcomes?other=1", "/v1/outcomes?workspace=a&workspace=b"}) {
        LONGS_EQUAL(400, status("GET", target, secret));
    }
}

// Guards against bodies that differ from the published schema, and against paths that are missing on one side.
TEST(AdminHandler, answersAsTheSchemaSays)
{
    m_source.inForce = generateConfiguration(readSample("agency.json"), 3).configuration;
    std::set<std::string> paths;
    for (const AdminRoute &route : adminRoutes()) {
        paths.insert(std::string(route.path));
        const AdminRequest request{.method = std::string(route.method),
                                   .target = std::string(route.path),
                                   .authorization = "Bearer operator-secret-01",
                                   .body = readSample("agency.json")};
        const AdminResponse response = m_handler.handle(request);
        LONGS_EQUAL(2, response.status / 100);
        if (route.path != "/metrics" && route.path != "/v1/schema") {
            expectSchema(request, response);
        }
        const AdminRequest denied{.method = request.method, .target = request.target, .authorization = ""};
        expectSchema(denied, m_handler.handle(denied));
    }
    LONGS_EQUAL(paths.size(), schemaDocument()["paths"].size());
    STRCMP_EQUAL(std::string(administrationSchema()).c_str(), ask("GET", "/v1/schema", "growers-secret-001").body.c_str());
}

// Guards against a configuration page without configuration that looks like an empty one.
TEST(AdminHandler, saysThatNoConfigurationIsInForce)
{
    LONGS_EQUAL(503, status("GET", "/v1/configuration", "reader-secret-0001"));
}

// Guards against an estimate that sheds bookings before reads or leaves out unknown operations.
TEST(AdminHandler, estimatesTheEffectOfAQuestionnaire)
{
    m_source.inForce = generateConfiguration(readSample("agency.json"), 3).configuration;
    json answers = json::parse(readSample("agency.json"));
    answers["services"][0]["operations"][0]["importance"] = "low";

    const DryRun result = dryRun(answers.dump(), m_source.inForce, m_source.recentLoad());

    CHECK(result.valid);
    LONGS_EQUAL(1, result.changes.size());
    STRCMP_EQUAL("services/registar/operations/read-record/class", result.changes[0].place.c_str());
    const auto estimate = std::find_if(result.services.begin(), result.services.end(),
                                       [](const ServiceEstimate &each) { return each.service.value() == "registar"; });
    DOUBLES_EQUAL(4000, estimate->callsPerSecond[0], 0.01);
    DOUBLES_EQUAL(4000, estimate->reclassifiedPerSecond, 0.01);
    DOUBLES_EQUAL(1, estimate->unmatchedPerSecond, 0.01);
    DOUBLES_EQUAL(2000, *estimate->capacityPerSecond, 0.01);
    DOUBLES_EQUAL(0.5, estimate->admittedShare[0], 0.01);

    const DryRun invalid = dryRun("{}", m_source.inForce, m_source.recentLoad());
    CHECK_FALSE(invalid.valid);
    CHECK(invalid.services.empty() && !invalid.findings.empty());
}
