#include "relay/relayheaders.h"

#include <array>
#include <charconv>
#include <span>

namespace wisteriafork {

namespace {

constexpr const char *MethodField = "wf-method";
constexpr const char *InstanceField = "wf-instance";
constexpr const char *RouteField = "wf-route";
constexpr const char *ServiceField = "wf-service";
constexpr const char *SenderField = "wf-from";
// `CallField` contains, separated by semicolons: kind, inner, retry, priority, target latency in microseconds, time to the deadline in
// microseconds, configuration version; then, separated by spaces, request id and target.
// `ReportField` contains, separated by semicolons: limit, running, queued, holding time in microseconds, pressure in 1/1000, configuration
// version, leaving; then, after a space, the origin header of the backend server if it set one.
// `FailureField` contains the number of a `NotExecutedReason`, or "unknown" if the request may have been executed. `EvidenceField` contains
// the number of a `NotExecutedEvidence`.
constexpr const char *FailureField = "wf-failure";
constexpr const char *EvidenceField = "wf-evidence";
constexpr std::string_view UnknownFailure = "unknown";
constexpr std::int64_t LastReason = static_cast<std::int64_t>(NotExecutedReason::Withdrawn);
constexpr std::int64_t LastEvidence = static_cast<std::int64_t>(NotExecutedEvidence::ServerMisdirected);

constexpr double PressureScale = 1000.0;
// A greater slowdown is a mistake of the sender.
constexpr std::int64_t MaxSlowdownPercent = 1'000'000;

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

// Removes the part of `text` up to and including the next space, and returns it without the space.
std::string_view takeUntilSpace(std::string_view &text)
{
    const std::size_t space = text.find(' ');
    const std::string_view word = text.substr(0, space);
    text.remove_prefix(space == std::string_view::npos ? text.size() : space + 1);
    return word;
}

std::string encodeReport(const ServingReport &report)
{
    return joinNumbers(std::array<std::int64_t, 7>{report.concurrencyLimit, report.runningRequests, report.queuedRequests,
                                                   microseconds(report.holdingTime),
                                                   static_cast<std::int64_t>(report.pressure * PressureScale),
                                                   static_cast<std::int64_t>(report.configurationVersion), report.leaving ? 1 : 0});
}

std::optional<ServingReport> decodeReport(std::string_view text)
{
    const auto numbers = parseNumbers<7>(text);
    if (!numbers) {
        return std::nullopt;
    }
    const auto &[limit, running, queued, holding, pressure, version, leaving] = *numbers;
    return ServingReport{.concurrencyLimit = static_cast<std::uint32_t>(limit),
                         .runningRequests = static_cast<std::uint32_t>(running),
                         .queuedRequests = static_cast<std::uint32_t>(queued),
                         .holdingTime = std::chrono::microseconds(holding),
                         .pressure = static_cast<double>(pressure) / PressureScale,
                         .configurationVersion = static_cast<std::uint64_t>(version),
                         .leaving = leaving != 0};
}

} // namespace

HttpHeaders encodeRelayRequest(const RelayRequest &request, const HeaderNames &names, TimePoint now)
{
    const std::string numbers = joinNumbers(
        std::array<std::int64_t, 7>{static_cast<std::int64_t>(request.kind), request.isInner ? 1 : 0, request.isRetry ? 1 : 0,
                                    request.priority, microseconds(request.targetLatency), microseconds(request.deadline - now),
                                    static_cast<std::int64_t>(request.configurationVersion)});
    HttpHeaders fields;
    fields.add(":path", "/call");
    fields.add(MethodField, request.http->method);
    fields.add(InstanceField, request.instance);
    fields.add(RouteField, request.route);
    fields.add(ServiceField, request.callerService);
    fields.add(SenderField, request.senderAddress);
    fields.add(CallField, numbers + " " + std::string(request.http->headers.find(names.requestId)) + " " + request.http->target);
    // Empty values remove these fields, because the receiver sets them itself.
    for (const std::string &name : {names.requestId, names.deadline, names.callerService, names.expectedInstance}) {
        fields.add(name, std::string());
    }
    return fields;
}

std::optional<RelayRequest> decodeRelayRequest(const std::shared_ptr<HttpRequest> &received, const HeaderNames &names, TimePoint now)
{
    HttpHeaders &headers = received->headers;
    const std::string call = takeField(headers, CallField);
    std::string_view rest = call;
    const auto numbers = parseNumbers<7>(takeUntilSpace(rest));
    const std::string_view id = takeUntilSpace(rest);
    RelayRequest request{.http = received,
                         .instance = takeField(headers, InstanceField),
                         .route = takeField(headers, RouteField),
                         .senderAddress = takeField(headers, SenderField),
                         .callerService = takeField(headers, ServiceField)};
    received->method = takeField(headers, MethodField);
    received->target = rest;
    if (!id.empty()) {
        headers.add(names.requestId, std::string(id));
    }
    if (!numbers || received->method.empty() || received->target.empty() || request.instance.empty()) {
        return std::nullopt;
    }
    const auto &[kind, inner, repeat, priority, target, remaining, version] = *numbers;
    request.kind = kind == static_cast<std::int64_t>(RequestKind::Idempotent) ? RequestKind::Idempotent : RequestKind::NonIdempotent;
    request.isInner = inner != 0;
    request.isRetry = repeat != 0;
    request.priority = static_cast<unsigned>(priority);
    request.targetLatency = std::chrono::microseconds(target);
    request.configurationVersion = static_cast<std::uint64_t>(version);
    request.deadline = now + std::chrono::microseconds(remaining);
    // The entry node has set this field or removed that of the caller if the deployment has workspaces with keys.
    request.workspace = names.workspace.empty() ? std::string() : std::string(headers.find(names.workspace));
    return request;
}

HttpResponse encodeOutcome(AttemptOutcome outcome, const HeaderNames &names)
{
    HttpResponse response{.status = 503};
    if (auto *serverResponse = std::get_if<ServerResponse>(&outcome.result)) {
        response = std::move(serverResponse->response);
        // The node that sent the request knows the id, so that it need not be sent back. Fields of the backend server must not pass for
        // those of the node.
        for (const std::string_view name :
             {std::string_view(names.requestId), std::string_view(FailureField), std::string_view(EvidenceField),
              std::string_view(ReportField), std::string_view(LoadField), std::string_view(RevisionsField)}) {
            response.headers.remove(name);
        }
    } else if (const auto *notExecuted = std::get_if<NotExecuted>(&outcome.result)) {
        response.headers.add(FailureField, std::to_string(static_cast<unsigned>(notExecuted->reason)));
        response.headers.add(EvidenceField, std::to_string(static_cast<unsigned>(notExecuted->evidence)));
    } else {
        response.status = 502;
        response.headers.add(FailureField, std::string(UnknownFailure));
    }
    const std::string origin = takeField(response.headers, names.responseOrigin.c_str());
    response.headers.add(ReportField, encodeReport(outcome.report.value_or(ServingReport{})) + (origin.empty() ? "" : " ") + origin);
    if (outcome.report && outcome.report->slowdownPercent > 0) {
        response.headers.add(LoadField, std::to_string(outcome.report->slowdownPercent));
    }
    return response;
}

std::optional<AttemptOutcome> decodeOutcome(HttpResponse response, const HeaderNames &names)
{
    AttemptOutcome outcome;
    const std::string report = takeField(response.headers, ReportField);
    std::string_view rest = report;
    outcome.report = decodeReport(takeUntilSpace(rest));
    if (!outcome.report) {
        return std::nullopt;
    }
    const auto slowdown = parseNumbers<1>(takeField(response.headers, LoadField));
    if (slowdown && slowdown->front() > 0 && slowdown->front() <= MaxSlowdownPercent) {
        outcome.report->slowdownPercent = static_cast<std::uint32_t>(slowdown->front());
    }
    if (!rest.empty()) {
        response.headers.add(names.responseOrigin, std::string(rest));
    }
    const std::string failure = takeField(response.headers, FailureField);
    const std::string evidence = takeField(response.headers, EvidenceField);
    if (failure.empty()) {
        outcome.result = ServerResponse{.response = std::move(response)};
    } else if (const auto reason = parseNumbers<1>(failure); reason && reason->front() >= 0 && reason->front() <= LastReason) {
        // Nodes of earlier versions send no evidence.
        const auto number = parseNumbers<1>(evidence);
        const bool known = number && number->front() >= 0 && number->front() <= LastEvidence;
        outcome.result
            = NotExecuted{.reason = static_cast<NotExecutedReason>(reason->front()),
                          .evidence = known ? static_cast<NotExecutedEvidence>(number->front()) : NotExecutedEvidence::NodeDecision};
    } else {
        outcome.result = OutcomeUnknown{};
    }
    return outcome;
}

} // namespace wisteriafork
