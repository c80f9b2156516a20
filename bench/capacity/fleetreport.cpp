#include "capacity/fleetreport.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <functional>

#include <sys/resource.h>
#include <unistd.h>

namespace wisteriafork {

namespace {
std::array<std::uint64_t, SimTraffic::Kinds> difference(const std::array<std::uint64_t, SimTraffic::Kinds> &now,
                                                        const std::array<std::uint64_t, SimTraffic::Kinds> &before)
{
    std::array<std::uint64_t, SimTraffic::Kinds> result{};
    std::transform(now.begin(), now.end(), before.begin(), result.begin(), std::minus<>());
    return result;
}
} // namespace

void FleetReport::add(const std::string &name, double value, const std::string &unit)
{
    m_figures.push_back({.name = name, .value = value, .unit = unit});
    std::printf("%-58s %14.3f %s\n", name.c_str(), value, unit.c_str());
    std::fflush(stdout);
}

std::string FleetReport::json() const
{
    std::string text = "{";
    for (const Figure &figure : m_figures) {
        text += (text.size() > 1 ? ",\n  \"" : "\n  \"") + figure.name + " [" + figure.unit + "]\": " + std::to_string(figure.value);
    }
    return text + "\n}\n";
}

TrafficMeter::TrafficMeter(SimFleet &fleet) : m_fleet(fleet), m_before(fleet.nodes().size()), m_since(fleet.now())
{
    m_cpu = processCpuSeconds();
}

void TrafficMeter::report(const std::string &phase, FleetReport &report)
{
    const double seconds = std::chrono::duration<double>(m_fleet.now() - m_since).count();
    const double cpu = processCpuSeconds();
    double sent = 0;
    double bytes = 0;
    double most = 0;
    std::array<std::uint64_t, SimTraffic::Kinds> kinds{};
    std::array<std::uint64_t, SimTraffic::Kinds> busiest{};
    for (std::size_t i = 0; i < m_before.size(); ++i) {
        const SimTraffic &now = m_fleet.nodes()[i].traffic;
        const SimTraffic &before = m_before[i];
        const auto nodeBytes = static_cast<double>(now.bytesSent - before.bytesSent + now.bytesReceived - before.bytesReceived);
        sent += static_cast<double>(now.sent - before.sent);
        bytes += nodeBytes;
        const auto ofNode = difference(now.bytesOfKind, before.bytesOfKind);
        std::transform(kinds.begin(), kinds.end(), ofNode.begin(), kinds.begin(), std::plus<>());
        if (nodeBytes / seconds > most) {
            most = nodeBytes / seconds;
            busiest = ofNode;
        }
        m_before[i] = now;
    }
    const auto nodes = static_cast<double>(m_before.size());
    report.add(phase + ": messages sent per node", sent / nodes / seconds, "1/s");
    report.add(phase + ": bytes sent and received per node, mean", bytes / nodes / seconds, "B/s");
    report.add(phase + ": bytes sent and received per node, greatest", most, "B/s");
    for (std::size_t kind = 0; kind < SimTraffic::Kinds; ++kind) {
        const std::string of = phase + ": bytes of " + SimTraffic::KindNames.at(kind);
        report.add(of + ", mean", static_cast<double>(kinds.at(kind)) / nodes / seconds, "B/s");
        report.add(of + ", busiest node", static_cast<double>(busiest.at(kind)) / seconds, "B/s");
    }
    report.add(phase + ": CPU per node", 100 * (cpu - m_cpu) / nodes / seconds, "% of a core");
    report.add(phase + ": reads at the configuration service", static_cast<double>(m_fleet.reads() - m_reads) / seconds, "1/s");
    m_since = m_fleet.now();
    m_reads = m_fleet.reads();
    m_cpu = cpu;
}

double processCpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + (static_cast<double>(time.tv_usec) / 1e6);
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace wisteriafork
