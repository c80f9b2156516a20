#include "net/callheaders.h"

#include "net/refusalresponse.h"

#include <array>
#include <charconv>
#include <limits>
#include <vector>

namespace wisteriafork {

namespace {

// Appends numbers as hexadecimal text, separated by semicolons.
class NumberWriter
{
public:
    NumberWriter &add(std::uint64_t number)
    {
        char digits[16];
        const auto end = std::to_chars(digits, digits + sizeof(digits), number, 16).ptr;
        if (!m_text.empty()) {
            m_text += ';';
        }
        m_text.append(digits, end);
        return *this;
    }

    NumberWriter &add(const RequestKey &key)
    {
        return add(key.high).add(key.low);
    }

    std::string take()
    {
        return std::move(m_text);
    }

private:
    std::string m_text;
};

class NumberReader
{
public:
    explicit NumberReader(std::string_view text) : m_rest(text)
    {
    }

    // Next number; 0 and a failed reader if there is none or it is above the bound.
    std::uint64_t next(std::uint64_t greatest = std::numeric_limits<std::uint64_t>::max())
    {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(m_rest.data(), m_rest.data() + m_rest.size(), number, 16);
        if (error != std::errc() || number > greatest) {
            m_failed = true;
            return 0;
        }
        m_rest.remove_prefix(static_cast<std::size_t>(end - m_rest.data()));
        if (!m_rest.empty()) {
            m_failed = m_failed || m_rest.front() != ';';
            m_rest.remove_prefix(1);
        }
        return number;
    }

    RequestKey nextKey()
    {
        const std::uint64_t high = next();
        return {.high = high, .low = next()};
    }

    Duration nextDuration()
    {
        return Duration(static_cast<Duration::rep>(next(static_cast<std::uint64_t>(std::numeric_limits<Duration::rep>::max()))));
    }

    bool succeeded() const
    {
        return !m_failed && m_rest.empty();
    }

private:
    std::string_view m_rest;
    bool m_failed = false;
};

std::uint64_t nonNegative(Duration duration)
{
    return duration.count() < 0 ? 0 : static_cast<std::uint64_t>(duration.count());
}

// Longest remaining time that is accepted from a peer; keeps the sum with the local time in range.
constexpr Duration MaxRemaining = std::chrono::hours(24);

constexpr std::uint64_t MaxClass = static_cast<std::uint64_t>(CallClass::Critical);

void addLevel(NumberWriter &writer, const AdmissionLevel &level)
{
    writer.add(static_cast<std::uint64_t>(level.callClass)).add(level.cut);
}

AdmissionLevel nextLevel(NumberReader &reader)
{
    AdmissionLevel level;
    level.callClass = static_cast<CallClass>(reader.next(MaxClass));
    level.cut = static_cast<std::uint16_t>(reader.next(256));
    return level;
}

} // namespace

HttpHeaders encodeForwardedCall(const ForwardedCall &forwarded, Duration remaining)
{
    const CallDescription &call = forwarded.call;
    NumberWriter numbers;
    numbers.add(static_cast<std::uint64_t>(forwarded.mode))
        .add(static_cast<std::uint64_t>(call.callClass))
        .add(call.internal ? 1 : 0)
        .add(call.idempotent ? 1 : 0)
        .add(call.callerHash)
        .add(call.requestHash)
        .add(call.key)
        .add(call.fingerprint)
        .add(nonNegative(remaining))
        .add(call.attemptsLeft);
    HttpHeaders headers;
    headers.fields().reserve(11);
    headers.add(":path", "/call");
    headers.add("wf-from", forwarded.from.value());
    headers.add("wf-service", call.service.value());
    headers.add("wf-operation", call.operation.value());
    headers.add("wf-tenant", call.tenant.value());
    headers.add("wf-method", forwarded.method);
    headers.add("wf-target", forwarded.target);
    headers.add("wf-request-id", call.requestId);
    headers.add("wf-trace-id", forwarded.traceId);
    headers.add("wf-call", numbers.take());
    return headers;
}

std::optional<ForwardedCall> decodeForwardedCall(const HttpHeaders &headers, TimePoint now)
{
    NumberReader numbers(headers.find("wf-call"));
    ForwardedCall forwarded;
    CallDescription &call = forwarded.call;
    forwarded.mode = static_cast<ForwardMode>(numbers.next(static_cast<std::uint64_t>(ForwardMode::Execute)));
    call.callClass = static_cast<CallClass>(numbers.next(MaxClass));
    call.internal = numbers.next(1) == 1;
    call.idempotent = numbers.next(1) == 1;
    call.callerHash = numbers.next();
    call.requestHash = numbers.next();
    call.key = numbers.nextKey();
    call.fingerprint = numbers.nextKey();
    call.deadline = now + std::min(numbers.nextDuration(), MaxRemaining);
    call.attemptsLeft = static_cast<std::uint32_t>(numbers.next(std::numeric_limits<std::uint32_t>::max()));
    forwarded.from = NodeId(std::string(headers.find("wf-from")));
    call.origin = CallOrigin::Peer;
    call.service = ServiceId(std::string(headers.find("wf-service")));
    call.operation = OperationId(std::string(headers.find("wf-operation")));
    call.tenant = TenantId(std::string(headers.find("wf-tenant")));
    call.requestId = headers.find("wf-request-id");
    forwarded.traceId = headers.find("wf-trace-id");
    forwarded.method = headers.find("wf-method");
    forwarded.target = headers.find("wf-target");
    const bool complete
        = !forwarded.from.empty() && !call.service.empty() && !forwarded.method.empty() && forwarded.target.starts_with('/');
    return numbers.succeeded() && complete ? std::optional(std::move(forwarded)) : std::nullopt;
}

std::string encodeLoadReport(const LoadReport &load)
{
    NumberWriter writer;
    writer.add(load.limit).add(load.running).add(load.queued).add(nonNegative(load.serviceTime));
    addLevel(writer, load.level);
    addLevel(writer, load.levelBelow);
    writer.add(load.leaving ? 1 : 0);
    return writer.take();
}

std::optional<LoadReport> decodeLoadReport(std::string_view text)
{
    constexpr std::uint64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
    NumberReader reader(text);
    LoadReport load;
    load.limit = static_cast<std::uint32_t>(reader.next(MaxCount));
    load.running = static_cast<std::uint32_t>(reader.next(MaxCount));
    load.queued = static_cast<std::uint32_t>(reader.next(MaxCount));
    load.serviceTime = reader.nextDuration();
    load.level = nextLevel(reader);
    load.levelBelow = nextLevel(reader);
    load.leaving = reader.next(1) == 1;
    return reader.succeeded() ? std::optional(load) : std::nullopt;
}

std::string encodeRefusal(const Refusal &refusal)
{
    NumberWriter writer;
    writer.add(static_cast<std::uint64_t>(refusal.kind))
        .add(static_cast<std::uint64_t>(refusal.reason))
        .add(nonNegative(refusal.retryAfter));
    return writer.take();
}

std::optional<Refusal> decodeRefusal(std::string_view text)
{
    NumberReader reader(text);
    Refusal refusal;
    refusal.kind = static_cast<RefusalKind>(reader.next(static_cast<std::uint64_t>(RefusalKind::OutcomeUnknown)));
    refusal.reason = static_cast<RefusalReason>(reader.next(static_cast<std::uint64_t>(RefusalReason::NotConfigured)));
    refusal.retryAfter = reader.nextDuration();
    return reader.succeeded() ? std::optional(refusal) : std::nullopt;
}

} // namespace wisteriafork
