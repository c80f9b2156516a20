#pragma once

#include "core/relay/route.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// Divides the requests of a route among its services in the proportions of their weights, with the least deviation at any moment. Not
// thread safe.
class WeightedSplit
{
public:
    const ServiceId &choose(const Route &route);

private:
    // Sum of weights that each service is owed, by route.
    std::unordered_map<std::string, std::vector<double>> m_owed;
};

} // namespace wisteriafork
