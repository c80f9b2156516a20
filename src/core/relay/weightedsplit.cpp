#include "core/relay/weightedsplit.h"

#include <algorithm>

namespace wisteriafork {

const ServiceId &WeightedSplit::choose(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    std::vector<double> &credits = m_creditsByRoute[route.name];
    if (credits.size() != route.services.size()) {
        credits.assign(route.services.size(), 0.0);
    }
    double totalWeight = 0.0;
    for (std::size_t index = 0; index < credits.size(); ++index) {
        credits[index] += route.services[index].weight;
        totalWeight += route.services[index].weight;
    }
    const auto highest = static_cast<std::size_t>(std::ranges::max_element(credits) - credits.begin());
    credits[highest] -= totalWeight;
    return route.services[highest].service;
}

} // namespace wisteriafork
