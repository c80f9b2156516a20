#include "net/requestclassifier.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

const TimePoint Now(std::chrono::hours(1));

Configuration exampleConfiguration()
{
    ServiceConfiguration service{.id = ServiceId("rezervacije"), .pathPrefix = "/rezervacije/"};
    service.operations = {
        {.id = OperationId("read"), .method = "GET", .pathPrefix = "/rezervacije/", .callClass = CallClass::Bulk},
        {.id = OperationId("read.one"), .method = "GET", .pathPrefix = "/rezervacije/one/", .callClass = CallClass::Read},
        {.id = OperationId("book"),
         .method = "POST",
         .pathPrefix = "/rezervacije/book",
         .callClass = CallClass::Critical,
         .idempotent = false,
         .identity = {.headers = {"x-client"}, .bodyFields = {"/order/number"}},
         .callerWait = std::chrono::seconds(8)},
    };
    return {.version = 3, .services = {service}, .tenants = {{.id = TenantId("default")}, {.id = TenantId("growers")}}};
}

HttpRequest booking(const std::string &body)
{
    HttpRequest request{.method = "POST", .target = "/rezervacije/book?x=1", .body = body};
    request.headers.add("x-client", "7");
    return request;
}

} // namespace

TEST_GROUP(RequestClassifier)
{
    const RequestClassifier classifier{exampleConfiguration()};

    ClassifiedRequest classify(const HttpRequest &request, CallOrigin origin = CallOrigin::Caller, std::string_view address = "10.0.0.1")
    {
        auto result = classifier.classify(
            request, {.origin = origin, .remoteAddress = address, .now = Now, .freshId = "0123456789abcdef0123456789abcdef"});
        CHECK(result.has_value());
        return std::move(*result);
    }
};

// Guards against an operation of a shorter prefix taking over a longer one's requests.
TEST(RequestClassifier, choosesTheLongestPrefix)
{
    CHECK(classify({.method = "GET", .target = "/rezervacije/one/2"}).call.operation == OperationId("read.one"));
    CHECK(classify({.method = "HEAD", .target = "/rezervacije/two"}).call.operation == OperationId("read"));
    CHECK(classifier.classify({.method = "GET", .target = "/other/"}, {}).error() == ClassifyError::UnknownService);
    CHECK(classifier.classify({.method = "PUT", .target = "/rezervacije/book"}, {}).error() == ClassifyError::UnknownOperation);
}

// Guards against a resend that is taken for a new booking, and against two bookings that are taken for one.
TEST(RequestClassifier, identifiesBookingsByTheNamedFields)
{
    const RequestKey key = classify(booking(R"({"order":{"number":5},"sent":1})")).call.key;

    CHECK(key != RequestKey{});
    CHECK(key == classify(booking(R"({"sent":2,"order":{"number":5}})")).call.key);
    CHECK(key != classify(booking(R"({"order":{"number":6},"sent":1})")).call.key);
    CHECK(key != classify(booking(R"({"order":{"number":5},"sent":1})"), CallOrigin::Caller, "10.0.0.2").call.key);
    HttpRequest withKey = booking(R"({"order":{"number":5}})");
    withKey.headers.add("idempotency-key", "k1");
    const RequestKey byHeader = classify(withKey).call.key;
    CHECK(key != byHeader);
    withKey.body = "changed";
    CHECK(byHeader == classify(withKey).call.key);
    CHECK(classify({.method = "GET", .target = "/rezervacije/"}).call.key == RequestKey{});
}

// Guards against callers that give themselves a higher class, more attempts or a tenant of their own.
TEST(RequestClassifier, trustsProjectHeadersOnlyFromTheLocalService)
{
    HttpRequest request{.method = "GET", .target = "/rezervacije/"};
    request.headers.add("wf-class", "critical");
    request.headers.add("wf-attempts-left", "2");
    request.headers.add("wf-tenant", "invented");
    request.headers.add("wf-deadline-ms", "50");

    const CallDescription outside = classify(request).call;
    const CallDescription inside = classify(request, CallOrigin::LocalService).call;

    CHECK(outside.callClass == CallClass::Bulk && inside.callClass == CallClass::Critical);
    CHECK(outside.attemptsLeft == 3 && inside.attemptsLeft == 2);
    CHECK(outside.tenant == TenantId("default"));
    CHECK(outside.deadline == Now + std::chrono::milliseconds(50));
    CHECK(classify({.method = "GET", .target = "/rezervacije/"}, CallOrigin::LocalService).call.attemptsLeft == 1);
}

// Guards against a chain whose parts are admitted by different hashes.
TEST(RequestClassifier, keepsTheRequestHashOverTheChain)
{
    HttpRequest request{.method = "GET", .target = "/rezervacije/"};
    request.headers.add("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");

    const ClassifiedRequest first = classify(request);
    const ClassifiedRequest second = classify(request, CallOrigin::LocalService);

    STRCMP_EQUAL("0af7651916cd43dd8448eb211c80319c", first.traceId.c_str());
    CHECK(first.call.requestHash == second.call.requestHash);
}
