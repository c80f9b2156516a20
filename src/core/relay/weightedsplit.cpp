#include "core/relay/weightedsplit.h"

#include <algorithm>

namespace wisteriafork {

const ServiceId &WeightedSplit::choose(const Route &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    std::vector<double> &owed = m_owed[route.name];
    if (owed.size() != route.services.size()) {
        owed.assign(route.services.size(), 0.0);
    }
    double total = 0.0;
    for (std::size_t index = 0; index < owed.size(); ++index) {
        owed[index] += route.services[index].weight;
        total += route.services[index].weight;
    }
    const auto most = static_cast<std::size_t>(std::ranges::max_element(owed) - owed.begin());
    owed[most] -= total;
    return route.services[most].service;
}

} // namespace wisteriafork
