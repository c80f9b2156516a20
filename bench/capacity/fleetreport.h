#pragma once

#include "distribution/simfleet.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wisteriafork {

// Named figures of one run, printed as a table and as JSON.
class FleetReport
{
public:
    void add(const std::string &name, double value, const std::string &unit);
    std::string json() const;

private:
    struct Figure
    {
        std::string name;
        double value = 0;
        std::string unit;
    };
    std::vector<Figure> m_figures;
};

// Control traffic of all nodes between two moments, as rates per node.
class TrafficMeter
{
public:
    explicit TrafficMeter(SimFleet &fleet);

    // Adds mean and greatest rates since the last call, and starts a new interval.
    void report(const std::string &phase, FleetReport &report);

private:
    SimFleet &m_fleet;
    std::vector<SimTraffic> m_before;
    TimePoint m_since;
    std::uint64_t m_reads = 0;
    double m_cpu = 0;
};

// CPU time of this process in seconds, and its resident memory in bytes.
double processCpuSeconds();
double residentBytes();

} // namespace wisteriafork
