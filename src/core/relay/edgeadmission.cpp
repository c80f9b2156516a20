#include "core/relay/edgeadmission.h"

#include <algorithm>

namespace wisteriafork {

namespace {

// Greatest credit of a route: what is left over after an admission counts for the next one.
constexpr double MostCredit = 2.0;
// Credit that callers who come back may use up in advance. It is small, because they must not be admitted on top of the share.
constexpr double LeastCredit = -3.0;
constexpr Duration SweepInterval = std::chrono::milliseconds(500);

} // namespace

EdgeAdmission::EdgeAdmission(const EdgeAdmissionOptions &options, const Clock &clock) : m_options(options), m_clock(clock)
{
}

bool EdgeAdmission::admit(const std::string &route, unsigned priority, double pressure, std::uint64_t identity)
{
    forgetOld();
    const double share = admittedShare(priority, pressure);
    const bool returning = m_refused.erase(identity) > 0 && pressure < m_options.returningPressure;
    double &credit = m_credit.try_emplace(route, 1.0).first->second;
    credit = std::min(MostCredit, credit + share);
    const double needed = returning ? LeastCredit + 1.0 : 1.0;
    if (credit >= needed) {
        credit -= 1.0;
        return true;
    }
    onRefusedAfterAdmission(identity);
    return false;
}

void EdgeAdmission::onRefusedAfterAdmission(std::uint64_t identity)
{
    m_refused[identity] = m_clock.now() + m_options.refusedMemory;
}

Duration EdgeAdmission::retryAfter(Duration targetLatency, double spread) const
{
    const double factor = m_options.retryAfterShare * (0.6 + 0.8 * spread);
    return std::chrono::duration_cast<Duration>(targetLatency * factor);
}

double EdgeAdmission::admittedShare(unsigned priority, double pressure) const
{
    const double urgent = m_options.urgentPressure;
    const double shed = priority == 0 ? (pressure - urgent) / (1.0 - urgent) : pressure / urgent;
    return std::clamp(1.0 - shed, m_options.leastAdmitted, 1.0);
}

void EdgeAdmission::forgetOld()
{
    const TimePoint now = m_clock.now();
    if (now >= m_nextSweep) {
        m_nextSweep = now + SweepInterval;
        std::erase_if(m_refused, [now](const auto &entry) { return entry.second <= now; });
    }
}

} // namespace wisteriafork
