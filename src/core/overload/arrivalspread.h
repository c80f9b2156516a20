#pragma once

#include "core/base/loadreport.h"

#include <array>
#include <cstdint>
#include <optional>

namespace wisteriafork {

// Estimates from the hashes of the calls that arrive which level the edges apply.
//
// The edges average over the instances of a service, so that the level which one of them reports is not the one that is in force.
class ArrivalSpread
{
public:
    void arrived(CallClass callClass, std::uint64_t requestHash);

    // Forgets the given share of the older arrivals.
    void fade(double share);

    // The scale up to which calls arrive. Empty where too few arrive to tell.
    std::optional<double> scale() const;

private:
    struct ClassArrivals
    {
        double count = 0.0;
        double positions = 0.0;
    };

    std::array<ClassArrivals, 3> m_classes{};
};

} // namespace wisteriafork
