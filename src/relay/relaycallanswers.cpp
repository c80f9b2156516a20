#include "core/base/durationseconds.h"
#include "net/errorresponse.h"
#include "relay/relaycall.h"

#include <cstdio>
#include <random>

// The functions of RelayCall that send or report its response. The attempts are in relaycall.cpp.

namespace wisteriafork {

namespace {

// Value of Retry-After before the first configuration is known.
constexpr Duration UnconfiguredRetryAfter = std::chrono::milliseconds(500);
constexpr unsigned ServerErrorStatus = 500;

std::string decimalText(double value)
{
    char text[32];
    const int size = std::snprintf(text, sizeof(text), "%.3f", value);
    return {text, static_cast<std::size_t>(size)};
}

} // namespace

void RelayCall::respondWithOutcome()
{
    if (m_failureResponse) {
        relayResponse(std::move(*m_failureResponse), RelayCounter::FailedByServer);
    } else if (!m_mayHaveExecuted && !m_parts.mayStart(m_deadline)) {
        refuse({.reason = RefusalReason::Draining, .event = "stopping"});
    } else if (!m_mayHaveExecuted) {
        m_parts.metrics.count(RelayCounter::RefusedLater);
        refuse({.reason = RefusalReason::Overloaded, .event = "not-run"});
    } else if (m_parts.clock.now() >= m_deadline) {
        respondWithError(504, RelayCounter::TimedOut, "timed-out");
    } else {
        respondWithError(502, RelayCounter::OutcomeUnknown, "outcome-unknown");
    }
}

void RelayCall::refuse(const Refuse &refusal)
{
    reportRefusal(refusal.reason);
    HttpResponse response = errorResponse(refusal.status, refusal.event);
    if (!m_isInnerCall && refusal.reason != RefusalReason::UnknownKey) {
        Duration delay = refusal.retryAfter.value_or(Duration(0));
        if (!refusal.retryAfter) {
            m_parts.admission.onRefusedAfterAdmission(m_admissionIdentity);
            delay = m_parts.admission.retryAfter(m_route->targetLatency, std::uniform_real_distribution<double>()(m_parts.random));
        }
        response.headers.add("retry-after", decimalText(toSeconds(delay)));
    }
    if (!m_attempts.empty() && m_route->kind == RequestKind::NonIdempotent) {
        m_parts.log.writeDecision(EventNumber::SentRequestRefused, false, [&] {
            return std::vector<std::string>{std::string(requestId()), m_route->name, std::to_string(response.status),
                                            m_notExecutedAttempts};
        });
    }
    respond(std::move(response), refusal.event);
}

void RelayCall::recordNotExecuted(const AttemptInfo &attempt, const NotExecuted &result)
{
    const auto elapsedTime = std::chrono::duration_cast<std::chrono::milliseconds>(m_parts.clock.now() - attempt.startTime);
    m_notExecutedAttempts += (m_notExecutedAttempts.empty() ? "" : ", ") + attempt.instance + " " + notExecutedReasonName(result.reason)
        + " " + notExecutedEvidenceName(result.evidence) + " " + std::to_string(elapsedTime.count());
}

void RelayCall::relayResponse(HttpResponse response, RelayCounter counter)
{
    m_parts.metrics.count(counter);
    if (counter != RelayCounter::Succeeded) {
        reportFailure();
    } else if (RelayObserver *requestObserver = observer()) {
        requestObserver->onRequestAnswered(*m_route, workspace(), elapsed());
    }
    const std::string &idField = m_parts.settings.headers.requestId;
    if (!response.headers.contains(idField)) {
        response.headers.add(idField, std::string(requestId()));
    }
    respond(std::move(response), counter == RelayCounter::Succeeded ? "succeeded" : "failed-by-server");
}

void RelayCall::respondWithError(unsigned status, RelayCounter counter, const char *reason)
{
    m_parts.metrics.count(counter);
    reportFailure();
    respond(errorResponse(status, reason), reason);
}

void RelayCall::respond(HttpResponse response, const char *event)
{
    m_finished = true;
    cancelAttempts();
    const bool ordinary = response.status < ServerErrorStatus;
    if (ordinary) {
        m_parts.metrics.recordResponseTime(elapsed());
    }
    m_parts.log.writeDecision(EventNumber::RelayAnswered, ordinary, [&] {
        return std::vector<std::string>{std::string(requestId()),
                                        m_route == nullptr ? std::string() : m_route->name,
                                        m_triedInstances.empty() ? std::string() : m_triedInstances.back(),
                                        event,
                                        std::to_string(response.status),
                                        decimalText(toSeconds(elapsed())),
                                        std::to_string(m_attempts.size()),
                                        m_route == nullptr ? std::string() : decimalText(m_parts.routePressure.pressureOf(m_route->name)),
                                        std::to_string(m_routes ? m_routes->version() : 0),
                                        m_isInnerCall ? std::string("inner") : m_exchange->remoteAddress};
    });
    m_exchange->respond(std::move(response));
}

void RelayCall::reportRefusal(RefusalReason reason)
{
    if (RelayObserver *requestObserver = observer()) {
        requestObserver->onRequestRefused(*m_route, workspace(), reason);
    }
}

void RelayCall::reportFailure()
{
    if (RelayObserver *requestObserver = observer()) {
        requestObserver->onRequestFailed(*m_route, workspace());
    }
}

std::string_view RelayCall::workspace() const
{
    return m_workspace.empty() ? m_exchange->request->headers.find(m_parts.settings.headers.workspace) : std::string_view(m_workspace);
}

RelayObserver *RelayCall::observer() const
{
    return m_isInnerCall || m_route == nullptr ? nullptr : m_parts.observer;
}

void RelayCall::refuseUnconfigured()
{
    HttpResponse response = errorResponse(503, "no configuration is known yet");
    response.headers.add("retry-after", decimalText(toSeconds(UnconfiguredRetryAfter)));
    m_parts.metrics.count(RelayCounter::NoRoute);
    respond(std::move(response), "unconfigured");
}

} // namespace wisteriafork
