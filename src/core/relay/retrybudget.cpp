#include "core/relay/retrybudget.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Lowest balance of a service in retries. Retries charged beyond it are not counted.
constexpr double MinimumRetryBalance = -20.0;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetOptions &options) : m_options(options)
{
}

void RetryBudget::onFirstSend(const ServiceId &service)
{
    double &balance = balanceOf(service);
    balance = std::min(m_options.burstRetries, balance + m_options.retryRatio);
}

void RetryBudget::chargeRetry(const ServiceId &service)
{
    double &balance = balanceOf(service);
    balance = std::max(MinimumRetryBalance, balance - 1.0);
}

bool RetryBudget::tryChargeRetry(const ServiceId &service, unsigned priority)
{
    double &balance = balanceOf(service);
    if (balance < (priority == 0 ? 1.0 : 1.0 + m_options.urgentReserveRetries)) {
        return false;
    }
    balance -= 1.0;
    return true;
}

double &RetryBudget::balanceOf(const ServiceId &service)
{
    return m_balances.try_emplace(service, m_options.burstRetries).first->second;
}

} // namespace wisteriafork
