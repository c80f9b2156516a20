#include "core/overload/arrivalspread.h"

#include "core/overload/admissionlevel.h"

#include <cmath>

namespace wisteriafork {

namespace {

// Fewer arrivals of a class do not tell its cut: probes arrive beyond it.
constexpr double LeastArrivals = 10.0;
// Relative deviation of the cut by chance for one arrival, times three.
constexpr double Deviation = 1.73;

} // namespace

void ArrivalSpread::arrived(CallClass callClass, std::uint64_t requestHash)
{
    ClassArrivals &arrivals = m_classes[static_cast<std::size_t>(callClass)];
    arrivals.count += 1.0;
    arrivals.positions += hashPosition(requestHash);
}

void ArrivalSpread::fade(double share)
{
    for (ClassArrivals &arrivals : m_classes) {
        arrivals.count *= 1.0 - share;
        arrivals.positions *= 1.0 - share;
    }
}

std::optional<double> ArrivalSpread::scale() const
{
    double scale = 0.0;
    for (auto arrivals = m_classes.rbegin(); arrivals != m_classes.rend(); ++arrivals) {
        if (arrivals->count < LeastArrivals) {
            return std::nullopt;
        }
        // The positions of admitted calls are uniform from 0 to the cut.
        const double cut = 2.0 * arrivals->positions / arrivals->count;
        if (cut * (1.0 + Deviation / std::sqrt(arrivals->count)) < CutsPerClass) {
            return scale + cut;
        }
        scale += CutsPerClass;
    }
    return std::nullopt;
}

} // namespace wisteriafork
