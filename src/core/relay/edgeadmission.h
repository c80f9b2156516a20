#pragma once

#include "core/base/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace wisteriafork {

struct EdgeAdmissionOptions
{
    // Pressure, 0 to 1, above which requests of priority 0 are shed too. Below it, requests of the other priorities are shed in proportion
    // to the pressure.
    double urgentSheddingPressure = 0.85;
    // Minimum share of requests that is admitted at any pressure. Their responses report the pressure, so the end of an overload is
    // detected.
    double minimumAdmittedShare = 0.05;
    // Time for which a refused request keeps its precedence. Callers retry within a third of the time for which they wait.
    Duration refusalLifetime = std::chrono::milliseconds(2500);
    // Pressure, 0 to 1, from which a retry after a refusal has no precedence over new requests.
    double returningCallerMaximumPressure = 0.95;
    // Mean delay before the retry of a refused caller, as a share of the target latency. It leaves time for a response within the target.
    double retryAfterTargetShare = 0.35;
};

// Admission control for requests of callers at the node where they enter the fleet. Under overload of the services behind a route it
// refuses a share of the requests before any work is done for them, those of low priority first. The retry of a refused caller takes
// precedence over new requests. Not thread safe.
class EdgeAdmission
{
public:
    EdgeAdmission(const EdgeAdmissionOptions &options, const Clock &clock);

    // Returns whether the request is admitted. `priority` 0 is the most urgent; `pressure` is that of the route, 0 to 1; `identity` is
    // equal for all retries of a request.
    bool admit(const std::string &route, unsigned priority, double pressure, std::uint64_t identity);
    // Records that a request was refused after its admission, so that its retry takes precedence over new requests.
    void onRefusedAfterAdmission(std::uint64_t identity);
    // Delay after which a refused caller should retry. `jitter`, 0 to 1, spreads the retries of different callers over time.
    Duration retryAfter(Duration targetLatency, double jitter) const;

private:
    // Share of requests to admit, 0 to 1.
    double admittedShare(unsigned priority, double pressure) const;
    void removeExpiredRefusals();

    const EdgeAdmissionOptions m_options;
    const Clock &m_clock;
    // Credit of each route in admissions. Each request adds the admitted share, and each admission takes one.
    std::unordered_map<std::string, double> m_credit;
    // Time at which the refusal of each request identity expires.
    std::unordered_map<std::uint64_t, TimePoint> m_refusalExpiry;
    TimePoint m_nextSweep{};
};

} // namespace wisteriafork
