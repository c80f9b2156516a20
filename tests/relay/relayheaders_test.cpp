#include "relay/relayheaders.h"

#include "relaysetup.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

TEST_GROUP(RelayHeaders)
{
    const HeaderNames names = testHeaderNames();
    const TimePoint now{24h};

    // The request as the receiving node gets it: the fields replace those of the request, and empty ones are not sent.
    static std::shared_ptr<HttpRequest> transmitted(const HttpRequest &request, const HttpHeaders &fields)
    {
        auto received = std::make_shared<HttpRequest>();
        received->body = request.body;
        for (const HttpHeaders *headers : {&request.headers, &fields}) {
            for (const auto &[name, value] : headers->fields()) {
                const bool replaced = headers == &request.headers && fields.contains(name);
                if (!replaced && !value.empty() && !name.starts_with(':')) {
                    received->headers.add(name, value);
                }
            }
        }
        return received;
    }
};

TEST(RelayHeaders, DecodesTheRequestAsTheCallerSentIt)
{
    auto http = std::make_shared<HttpRequest>(HttpRequest{.method = "POST", .target = "/a/b?c=d e", .body = "body"});
    http->headers.add("host", "a.example");
    http->headers.add("x-id", "77aa");
    http->headers.add("x-deadline", "900");
    const RelayRequest sent{.http = http,
                            .instance = "i-1",
                            .route = "r-1",
                            .kind = RequestKind::NonIdempotent,
                            .isInner = true,
                            .isRetry = true,
                            .priority = 2,
                            .targetLatency = 300ms,
                            .deadline = now + 800ms,
                            .configurationVersion = 12,
                            .senderAddress = "127.0.0.1:1",
                            .callerService = "shop"};

    const auto received = transmitted(*http, encodeRelayRequest(sent, names, now));
    const std::optional<RelayRequest> decoded = decodeRelayRequest(received, names, now + 1h);

    CHECK(decoded.has_value());
    STRCMP_EQUAL("POST", decoded->http->method.c_str());
    STRCMP_EQUAL("/a/b?c=d e", decoded->http->target.c_str());
    STRCMP_EQUAL("body", decoded->http->body.c_str());
    LONGS_EQUAL(2, decoded->http->headers.fields().size());
    STRCMP_EQUAL("77aa", std::string(decoded->http->headers.find("x-id")).c_str());
    STRCMP_EQUAL("i-1", decoded->instance.c_str());
    CHECK(decoded->kind == RequestKind::NonIdempotent);
    CHECK(decoded->isInner && decoded->isRetry);
    LONGS_EQUAL(2, decoded->priority);
    LONGS_EQUAL(12, decoded->configurationVersion);
    CHECK(decoded->deadline == now + 1h + 800ms);
    STRCMP_EQUAL("shop", decoded->callerService.c_str());
}

TEST(RelayHeaders, RejectsAMalformedDescription)
{
    auto received = std::make_shared<HttpRequest>();
    received->headers.add("wf-call", "1;2;x 77aa /a");
    received->headers.add("wf-method", "GET");
    received->headers.add("wf-instance", "i-1");

    CHECK_FALSE(decodeRelayRequest(received, names, now).has_value());
}

TEST(RelayHeaders, PreservesTheOriginHeaderOfAResponseAndTheReasonOfARefusal)
{
    HttpResponse response{.status = 200, .body = "whole"};
    response.headers.add("x-seal", "seal-1");
    const ServingReport report{.concurrencyLimit = 10,
                               .runningRequests = 3,
                               .queuedRequests = 2,
                               .holdingTime = 50ms,
                               .pressure = 0.25,
                               .configurationVersion = 4,
                               .leaving = true};

    const auto success = decodeOutcome(encodeOutcome({.result = ServerResponse{.response = response}, .report = report}, names), names);
    const auto refusal
        = decodeOutcome(encodeOutcome({.result = NotExecuted{.reason = NotExecutedReason::TooLate}, .report = report}, names), names);
    const auto unknown = decodeOutcome(encodeOutcome({.result = OutcomeUnknown{}, .report = report}, names), names);

    const auto &decoded = std::get<ServerResponse>(success->result).response;
    STRCMP_EQUAL("seal-1", std::string(decoded.headers.find("x-seal")).c_str());
    STRCMP_EQUAL("whole", decoded.body.c_str());
    LONGS_EQUAL(2, success->report->queuedRequests);
    DOUBLES_EQUAL(0.25, success->report->pressure, 1e-9);
    CHECK(success->report->leaving);
    CHECK(std::get<NotExecuted>(refusal->result).reason == NotExecutedReason::TooLate);
    CHECK(std::holds_alternative<OutcomeUnknown>(unknown->result));
}

// Guards against fields of a backend server with the names of the node's own ones: a request that ran would count as refused.
TEST(RelayHeaders, FieldsOfTheBackendServerAreNotTakenForThoseOfTheNode)
{
    HttpResponse response{.status = 200, .body = "whole"};
    response.headers.add("wf-failure", "2");
    response.headers.add("wf-evidence", "4");
    response.headers.add("wf-report", "9;9;9;9;9;9;1 forged");
    response.headers.add("wf-published", "7");

    const auto outcome
        = decodeOutcome(encodeOutcome({.result = ServerResponse{.response = response}, .report = ServingReport{}}, names), names);

    CHECK(outcome.has_value());
    const auto *decoded = std::get_if<ServerResponse>(&outcome->result);
    CHECK(decoded != nullptr);
    LONGS_EQUAL(0, decoded == nullptr ? 1 : decoded->response.headers.fields().size());
    LONGS_EQUAL(0, outcome->report->queuedRequests);
}

// Guards against reasons of a later version that this one does not know: they prove nothing to it.
TEST(RelayHeaders, AnUnknownReasonLeavesTheOutcomeUnknown)
{
    HttpResponse response{.status = 503};
    response.headers.add("wf-failure", "99");
    response.headers.add("wf-report", "1;0;0;0;0;1;0");

    const auto outcome = decodeOutcome(std::move(response), names);

    CHECK(outcome.has_value() && std::holds_alternative<OutcomeUnknown>(outcome->result));
}

TEST(RelayHeaders, RejectsAResponseWithoutAReport)
{
    CHECK_FALSE(decodeOutcome({.status = 503}, names).has_value());
}
