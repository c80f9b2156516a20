#pragma once

#include "core/base/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace wisteriafork {

struct EdgeAdmissionOptions
{
    // Pressure up to which the most urgent requests are all admitted. Below it only the others are shed, in proportion to the pressure.
    double urgentPressure = 0.85;
    // Part of the requests that is admitted at the greatest pressure, so that the end of an overload is noticed.
    double leastAdmitted = 0.05;
    // Time for which a refused request is remembered; callers come back within a third of their waiting time.
    Duration refusedMemory = std::chrono::milliseconds(2500);
    // Pressure above which a request that was refused before is treated like any other.
    double returningPressure = 0.95;
    // Time after which a refused caller should come back, as part of the target latency, so that its answer is still in time.
    double retryAfterShare = 0.35;
};

// Refuses requests of callers where they enter the fleet, before any work is spent on them, for a load above what the services behind the
// route can carry. The least urgent are shed first. A caller that comes back after a refusal is served before new ones. Not thread safe.
class EdgeAdmission
{
public:
    EdgeAdmission(const EdgeAdmissionOptions &options, const Clock &clock);

    // `identity` is equal for the repeats of a request. `pressure` is that of the route.
    bool admit(const std::string &route, unsigned priority, double pressure, std::uint64_t identity);
    // A request was refused after it was admitted; its repeat is served before new requests.
    void onRefusedAfterAdmission(std::uint64_t identity);
    // Time after which a refused caller should come back; `spread` from 0 to 1 keeps callers apart.
    Duration retryAfter(Duration targetLatency, double spread) const;

private:
    double admittedShare(unsigned priority, double pressure) const;
    void forgetOld();

    const EdgeAdmissionOptions m_options;
    const Clock &m_clock;
    // Admissions that a route has in hand: grows by the admitted share with each request and shrinks by one with each admission.
    std::unordered_map<std::string, double> m_credit;
    std::unordered_map<std::uint64_t, TimePoint> m_refused;
    TimePoint m_nextSweep{};
};

} // namespace wisteriafork
