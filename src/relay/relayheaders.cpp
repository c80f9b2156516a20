#include "relay/relayheaders.h"

#include <array>
#include <charconv>
#include <span>

namespace wisteriafork {

namespace {

constexpr const char *MethodField = "wf-method";
constexpr const char *TargetField = "wf-target";
constexpr const char *InstanceField = "wf-instance";
constexpr const char *RouteField = "wf-route";
constexpr const char *ServiceField = "wf-service";
constexpr const char *SenderField = "wf-from";
// Kind, inner, repeat, priority, microseconds of the target latency, microseconds that remain, configuration version.
constexpr const char *CallField = "wf-call";
// Limit, running, queued, microseconds of the holding time, pressure in 1/1000, configuration version, leaving.
constexpr const char *ReportField = "wf-report";
// Number of a `NotRunReason`, or "unknown" or "node-lost".
constexpr const char *FailureField = "wf-failure";
constexpr std::string_view UnknownFailure = "unknown";

constexpr double PressureScale = 1000.0;

std::int64_t microseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

std::string joinNumbers(std::span<const std::int64_t> numbers)
{
    std::string text;
    for (const std::int64_t number : numbers) {
        text += (text.empty() ? "" : ";") + std::to_string(number);
    }
    return text;
}

template <std::size_t count>
std::optional<std::array<std::int64_t, count>> parseNumbers(std::string_view text)
{
    std::array<std::int64_t, count> numbers{};
    for (std::size_t index = 0; index < count; ++index) {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), numbers[index]);
        if (error != std::errc()) {
            return std::nullopt;
        }
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        const bool last = index + 1 == count;
        if (last != text.empty() || (!last && text.front() != ';')) {
            return std::nullopt;
        }
        text.remove_prefix(last ? 0 : 1);
    }
    return numbers;
}

std::string takeField(HttpHeaders &headers, const char *name)
{
    std::string value(headers.find(name));
    headers.remove(name);
    return value;
}

std::string encodeReport(const ServingReport &report)
{
    return joinNumbers(std::array<std::int64_t, 7>{report.limit, report.running, report.queued, microseconds(report.holdingTime),
                                                   static_cast<std::int64_t>(report.pressure * PressureScale),
                                                   static_cast<std::int64_t>(report.version), report.leaving ? 1 : 0});
}

std::optional<ServingReport> decodeReport(std::string_view text)
{
    const auto numbers = parseNumbers<7>(text);
    if (!numbers) {
        return std::nullopt;
    }
    const auto &[limit, running, queued, holding, pressure, version, leaving] = *numbers;
    return ServingReport{.limit = static_cast<std::uint32_t>(limit),
                         .running = static_cast<std::uint32_t>(running),
                         .queued = static_cast<std::uint32_t>(queued),
                         .holdingTime = std::chrono::microseconds(holding),
                         .pressure = static_cast<double>(pressure) / PressureScale,
                         .version = static_cast<std::uint64_t>(version),
                         .leaving = leaving != 0};
}

} // namespace

HttpHeaders encodeRelayRequest(const RelayRequest &request, TimePoint now)
{
    HttpHeaders fields;
    fields.add(":path", "/call");
    fields.add(MethodField, request.http->method);
    fields.add(TargetField, request.http->target);
    fields.add(InstanceField, request.instance);
    fields.add(RouteField, request.route);
    fields.add(ServiceField, request.callerService);
    fields.add(CallField,
               joinNumbers(std::array<std::int64_t, 7>{static_cast<std::int64_t>(request.kind), request.inner ? 1 : 0, request.repeat ? 1 : 0, request.priority,
                                                       microseconds(request.targetLatency), microseconds(request.deadline - now),
                                                       static_cast<std::int64_t>(request.version)}));
    fields.add(SenderField, request.sender);
    return fields;
}

std::optional<RelayRequest> decodeRelayRequest(const std::shared_ptr<HttpRequest> &received, TimePoint now)
{
    HttpHeaders &headers = received->headers;
    const auto numbers = parseNumbers<7>(takeField(headers, CallField));
    RelayRequest request{.http = received,
                         .instance = takeField(headers, InstanceField),
                         .route = takeField(headers, RouteField),
                         .sender = takeField(headers, SenderField),
                         .callerService = takeField(headers, ServiceField)};
    received->method = takeField(headers, MethodField);
    received->target = takeField(headers, TargetField);
    if (!numbers || received->method.empty() || received->target.empty() || request.instance.empty()) {
        return std::nullopt;
    }
    const auto &[kind, inner, repeat, priority, target, remaining, version] = *numbers;
    request.kind = kind == static_cast<std::int64_t>(RequestKind::Idempotent) ? RequestKind::Idempotent : RequestKind::NonIdempotent;
    request.inner = inner != 0;
    request.repeat = repeat != 0;
    request.priority = static_cast<unsigned>(priority);
    request.targetLatency = std::chrono::microseconds(target);
    request.version = static_cast<std::uint64_t>(version);
    request.deadline = now + std::chrono::microseconds(remaining);
    return request;
}

HttpResponse encodeOutcome(AttemptOutcome outcome)
{
    HttpResponse response{.status = 503};
    if (auto *answer = std::get_if<ServerAnswer>(&outcome.result)) {
        response = std::move(answer->response);
    } else if (const auto *notRun = std::get_if<NotRun>(&outcome.result)) {
        response.headers.add(FailureField, std::to_string(static_cast<unsigned>(notRun->reason)));
    } else {
        response.status = 502;
        response.headers.add(FailureField, std::string(UnknownFailure));
    }
    response.headers.add(ReportField, encodeReport(outcome.report.value_or(ServingReport{})));
    return response;
}

std::optional<AttemptOutcome> decodeOutcome(HttpResponse response)
{
    AttemptOutcome outcome;
    outcome.report = decodeReport(takeField(response.headers, ReportField));
    if (!outcome.report) {
        return std::nullopt;
    }
    const std::string failure = takeField(response.headers, FailureField);
    if (failure.empty()) {
        outcome.result = ServerAnswer{.response = std::move(response)};
    } else if (const auto reason = parseNumbers<1>(failure)) {
        outcome.result = NotRun{.reason = static_cast<NotRunReason>(reason->front())};
    } else {
        outcome.result = OutcomeUnknown{};
    }
    return outcome;
}

} // namespace wisteriafork
