#include "core/relay/retrybudget.h"

#include <algorithm>
#include <numeric>

namespace wisteriafork {

namespace {

// Lowest balance of a service in retries. Retries charged beyond it are not counted.
constexpr double MinimumRetryBalance = -20.0;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetOptions &options, const Clock &clock) : m_options(options), m_clock(clock)
{
}

void RetryBudget::setNodeCount(std::size_t nodes)
{
    m_nodes = static_cast<double>(std::max<std::size_t>(1, nodes));
}

void RetryBudget::onFirstSend(const ServiceId &service)
{
    Account &account = accountOf(service);
    ++account.sends[static_cast<std::size_t>(account.slice) % SliceCount];
    const double earned = m_options.fleetRatio * m_options.earnedShare;
    account.balance = std::max(account.balance, std::min(capacity(account), account.balance + earned));
}

void RetryBudget::chargeRetry(const ServiceId &service)
{
    double &balance = accountOf(service).balance;
    balance = std::max(MinimumRetryBalance, balance - 1.0);
}

bool RetryBudget::tryChargeRetry(const ServiceId &service, unsigned priority)
{
    Account &account = accountOf(service);
    const double available = std::min(account.balance, capacity(account));
    // With a small capacity, the reserve is half of what is left beyond one retry, so that less urgent requests are retried at all.
    const double reserve = priority == 0 ? 0.0 : std::clamp((capacity(account) - 1.0) / 2, 0.0, m_options.urgentReserveRetries);
    if (available < 1.0 + reserve) {
        return false;
    }
    account.balance = available - 1.0;
    return true;
}

RetryBudget::Account &RetryBudget::accountOf(const ServiceId &service)
{
    const std::int64_t slice = m_clock.now().time_since_epoch() / (m_options.window / static_cast<std::int64_t>(SliceCount));
    const auto [found, inserted] = m_accounts.try_emplace(service);
    Account &account = found->second;
    if (inserted) {
        account.balance = std::min(m_options.burstRetries, m_options.initialSlackShare * slackOfNode());
        account.slice = slice;
    }
    const std::int64_t passed = std::min<std::int64_t>(slice - account.slice, SliceCount);
    for (std::int64_t step = 1; step <= passed; ++step) {
        account.sends[static_cast<std::size_t>(account.slice + step) % SliceCount] = 0;
    }
    if (passed == static_cast<std::int64_t>(SliceCount)) {
        account.sends.fill(0);
    }
    account.slice = slice;
    return account;
}

double RetryBudget::slackOfNode() const
{
    return m_options.fleetSlackRetries / m_nodes;
}

double RetryBudget::capacity(const Account &account) const
{
    const double recentSends = std::accumulate(account.sends.begin(), account.sends.end(), 0U);
    const double unusedRatio = m_options.fleetRatio * (1.0 - m_options.earnedShare);
    return std::min(m_options.burstRetries, m_options.savedSlackShare * slackOfNode() + unusedRatio * recentSends);
}

} // namespace wisteriafork
