#include "core/relay/edgeadmission.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Bounds the credit of a route, in admissions. A fraction that is left after an admission counts towards the next one.
constexpr double MaximumAdmissionCredit = 2.0;
// Lowest credit of a route, in admissions, after the admission of a returning caller. The debt is small, because returning callers must not
// raise the admitted share.
constexpr double MinimumReturningCallerCredit = -3.0;
// Interval at which expired refusals are removed.
constexpr Duration SweepInterval = std::chrono::milliseconds(500);

} // namespace

EdgeAdmission::EdgeAdmission(const EdgeAdmissionOptions &options, const Clock &clock) : m_options(options), m_clock(clock)
{
}

bool EdgeAdmission::admit(const std::string &route, unsigned priority, double pressure, std::uint64_t identity)
{
    removeExpiredRefusals();
    const double share = admittedShare(priority, pressure);
    const bool returning = m_refusalExpiry.erase(identity) > 0 && pressure < m_options.returningCallerMaximumPressure;
    double &credit = m_credit.try_emplace(route, 1.0).first->second;
    credit = std::min(MaximumAdmissionCredit, credit + share);
    const double requiredCredit = returning ? MinimumReturningCallerCredit + 1.0 : 1.0;
    if (credit >= requiredCredit) {
        credit -= 1.0;
        return true;
    }
    onRefusedAfterAdmission(identity);
    return false;
}

void EdgeAdmission::onRefusedAfterAdmission(std::uint64_t identity)
{
    m_refusalExpiry[identity] = m_clock.now() + m_options.refusalLifetime;
}

Duration EdgeAdmission::retryAfter(Duration targetLatency, double jitter) const
{
    const double factor = m_options.retryAfterTargetShare * (0.6 + 0.8 * jitter);
    return std::chrono::duration_cast<Duration>(targetLatency * factor);
}

double EdgeAdmission::admittedShare(unsigned priority, double pressure) const
{
    const double urgent = m_options.urgentSheddingPressure;
    const double shedShare = priority == 0 ? (pressure - urgent) / (1.0 - urgent) : pressure / urgent;
    return std::clamp(1.0 - shedShare, m_options.minimumAdmittedShare, 1.0);
}

void EdgeAdmission::removeExpiredRefusals()
{
    const TimePoint now = m_clock.now();
    if (now >= m_nextSweep) {
        m_nextSweep = now + SweepInterval;
        std::erase_if(m_refusalExpiry, [now](const auto &entry) { return entry.second <= now; });
    }
}

} // namespace wisteriafork
