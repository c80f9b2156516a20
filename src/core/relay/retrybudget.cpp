#include "core/relay/retrybudget.h"

#include <algorithm>

namespace wisteriafork {

RetryBudget::RetryBudget(const RetryBudgetOptions &options) : m_options(options)
{
}

void RetryBudget::firstSend(const ServiceId &service)
{
    double &available = tokens(service);
    available = std::min(m_options.burst, available + m_options.ratio);
}

bool RetryBudget::take(const ServiceId &service)
{
    double &available = tokens(service);
    if (available < 1.0) {
        return false;
    }
    available -= 1.0;
    return true;
}

double &RetryBudget::tokens(const ServiceId &service)
{
    return m_tokens.try_emplace(service, m_options.burst).first->second;
}

} // namespace wisteriafork
