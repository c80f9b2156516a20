#include "core/base/hashing.h"
#include "relay/quotagateway.h"
#include "relay/relaycall.h"

#include <array>

// The checks of RelayCall that come before the first attempt. The attempts are in relaycall.cpp.

namespace wisteriafork {

namespace {

// Counter of the requests that a check refuses for this reason; empty if none counts them.
std::optional<RelayCounter> refusalCounter(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return RelayCounter::RefusedAtEntry;
    case RefusalReason::UnknownKey:
        return RelayCounter::UnknownKey;
    case RefusalReason::StaleConfiguration:
        return RelayCounter::StaleConfiguration;
    case RefusalReason::OverQuota:
        return RelayCounter::OverQuota;
    default:
        return std::nullopt;
    }
}

} // namespace

void RelayCall::runChecks()
{
    static constexpr std::array Checks{&RelayCall::checkWorkspace, &RelayCall::checkFreshness, &RelayCall::checkQuota,
                                       &RelayCall::checkCrashGuard, &RelayCall::checkAdmission};
    for (; m_passedChecks < Checks.size(); ++m_passedChecks) {
        if (!applyVerdict((this->*Checks[m_passedChecks])())) {
            return;
        }
    }
    sendFirstAttempt();
}

bool RelayCall::applyVerdict(const Verdict &verdict)
{
    if (const auto *refusal = std::get_if<Refuse>(&verdict)) {
        if (const std::optional<RelayCounter> counter = refusalCounter(refusal->reason)) {
            m_parts.metrics.count(*counter);
        }
        if (m_holdsQuotaToken) {
            m_parts.quotas->giveBack(m_workspace);
        }
        refuse(*refusal);
    }
    return std::holds_alternative<Admit>(verdict);
}

Verdict RelayCall::checkWorkspace()
{
    if (!m_parts.workspaces) {
        return Admit{};
    }
    const HeaderNames &names = m_parts.settings.headers;
    HttpHeaders &headers = m_exchange->request->headers;
    const std::string key(headers.find(names.credential));
    headers.remove(names.credential);
    headers.remove(names.workspace);
    if (!m_isInnerCall && !m_route->isPublic) {
        const Workspace *holder = key.empty() ? nullptr : m_parts.workspaces->findByKey(key);
        if (holder == nullptr) {
            // An outdated configuration does not show that the key is unknown.
            const Verdict freshness = checkFreshness();
            return std::holds_alternative<Refuse>(freshness)
                ? freshness
                : Refuse{.status = 401, .reason = RefusalReason::UnknownKey, .event = "unknown-key"};
        }
        m_workspace = holder->name;
        m_priority = holder->priority.value_or(m_priority);
    }
    if (!m_workspace.empty()) {
        headers.add(names.workspace, m_workspace);
    }
    return Admit{};
}

Verdict RelayCall::checkFreshness()
{
    const bool needsKey = m_parts.workspaces && !m_isInnerCall && !m_route->isPublic;
    return needsKey && m_parts.keyFreshness != nullptr ? m_parts.keyFreshness->check() : Admit{};
}

Verdict RelayCall::checkQuota()
{
    const bool counts = m_parts.quotas != nullptr && m_parts.workspaces && !m_isInnerCall && !m_workspace.empty();
    const Workspace *workspace = counts ? m_parts.workspaces->findByName(m_workspace) : nullptr;
    if (workspace == nullptr) {
        return Admit{};
    }
    if (!m_quotaVerdict) {
        m_quotaVerdict = m_parts.quotas->admit(*workspace, [self = weak_from_this()](const Verdict &verdict) {
            if (const auto call = self.lock(); call && !call->m_finished) {
                call->m_quotaVerdict = verdict;
                call->runChecks();
            }
        });
    }
    m_holdsQuotaToken = std::holds_alternative<Admit>(*m_quotaVerdict);
    return *m_quotaVerdict;
}

Verdict RelayCall::checkCrashGuard()
{
    if (m_parts.crashGuard.suspectCount() == 0) {
        return Admit{};
    }
    const RequestKey fingerprint = RelayRequest{.http = m_exchange->request}.fingerprint();
    if (m_parts.crashGuard.isTrialDue(fingerprint)) {
        m_trialFingerprint = fingerprint;
    } else if (m_parts.crashGuard.isBanned(fingerprint)) {
        return Refuse{.reason = RefusalReason::SuspectedOfCrash, .event = "suspected-of-crash"};
    }
    return Admit{};
}

Verdict RelayCall::checkAdmission()
{
    if (m_isInnerCall) {
        return Admit{};
    }
    const HttpRequest &request = *m_exchange->request;
    m_admissionIdentity = hash64(request.target, hash64(request.body, hash64(request.headers.find("host"))));
    if (m_parts.admission.admit(m_route->name, m_priority, m_parts.routePressure.pressureOf(m_route->name), m_admissionIdentity)) {
        return Admit{};
    }
    return Refuse{.reason = RefusalReason::Overloaded, .event = "refused-at-entry"};
}

} // namespace wisteriafork
