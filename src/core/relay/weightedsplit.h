#pragma once

#include "core/relay/route.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// Smooth weighted round robin over the services of a route: at any time the numbers of requests deviate as little as possible from the
// proportions of the weights. Not thread safe.
class WeightedSplit
{
public:
    // Service for the next request of the route. The reference belongs to `route`.
    const ServiceId &choose(const Route &route);

private:
    // Accumulated weight of each service of a route, less the total weight for each request that it got.
    std::unordered_map<std::string, std::vector<double>> m_creditsByRoute;
};

} // namespace wisteriafork
