#include "core/relay/retrybudget.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Debt of a service that is remembered; further repeats of runs above are lost to the count.
constexpr double MostDebt = -20.0;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetOptions &options) : m_options(options)
{
}

void RetryBudget::onFirstSend(const ServiceId &service)
{
    double &available = tokens(service);
    available = std::min(m_options.burstRetries, available + m_options.retryRatio);
}

void RetryBudget::chargeRetry(const ServiceId &service)
{
    double &available = tokens(service);
    available = std::max(MostDebt, available - 1.0);
}

bool RetryBudget::tryChargeRetry(const ServiceId &service, unsigned priority)
{
    double &available = tokens(service);
    if (available < (priority == 0 ? 1.0 : 1.0 + m_options.urgentReserveRetries)) {
        return false;
    }
    available -= 1.0;
    return true;
}

double &RetryBudget::tokens(const ServiceId &service)
{
    return m_tokens.try_emplace(service, m_options.burstRetries).first->second;
}

} // namespace wisteriafork
