#include "capacity/fleetreport.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <string>

#include <getopt.h>

using namespace wisteriafork;
using namespace std::chrono_literals;

namespace {
// Changes at the target size: 25,000 configuration changes and about 16,000 host list versions a day (5,500 restarts or replacements with
// three versions each, and 140 failures). The rates stay the same at smaller sizes, so that the cost per node is that of the target.
constexpr double ConfigurationChangesPerSecond = 25000.0 / 86400;
constexpr double ListChangesPerSecond = 16640.0 / 86400;
constexpr Duration Patience = 60s;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

class Capacity
{
public:
    Capacity(std::size_t services, std::size_t instances, std::size_t domains)
        : m_fleet({.services = services, .instances = instances, .domains = domains, .calls = 8, .sliceBytes = 2048, .seeds = 3})
        , m_meter(m_fleet)
        , m_services(services)
        , m_instances(instances)
    {
    }

    // With `trace`, prints the reads of each second by kind.
    void coldStart(bool trace)
    {
        const double before = residentBytes();
        const TimePoint begin = m_fleet.now();
        m_fleet.startAll();
        m_fleet.publishLists();
        double mostReads = 0;
        std::size_t mostWatches = 0;
        const auto allReady = [&] {
            return std::all_of(m_fleet.nodes().begin(), m_fleet.nodes().end(), [](const SimNode &n) { return n.distribution->isReady(); });
        };
        bool ready = false;
        while (!ready && m_fleet.now() - begin < 2 * Patience) {
            const std::uint64_t reads = m_fleet.reads();
            const std::map<std::string, std::uint64_t> readsOf = m_fleet.readsOf;
            m_fleet.run(1s);
            if (trace) {
                traceSecond(seconds(m_fleet.now() - begin), readsOf);
            }
            mostReads = std::max(mostReads, static_cast<double>(m_fleet.reads() - reads));
            mostWatches = std::max(mostWatches, m_fleet.watches());
            ready = allReady();
        }
        report.add("cold start: all nodes ready (1 = yes)", ready ? 1 : 0, "");
        report.add("cold start: time until the last node is ready", seconds(m_fleet.now() - begin), "s");
        report.add("cold start: reads in the busiest second", mostReads, "1/s");
        report.add("cold start: reads refused by the service", static_cast<double>(m_fleet.refusedReads()), "");
        report.add("cold start: most waiting watches", static_cast<double>(mostWatches), "");
        for (const auto &[kind, count] : m_fleet.readsOf) {
            report.add("cold start: single reads of " + kind, static_cast<double>(count), "");
        }
        m_meter.report("cold start", report);
        report.add("memory per node after the start", (residentBytes() - before) / static_cast<double>(m_fleet.nodes().size()) / 1e6, "MB");
    }

    void settle(Duration time)
    {
        m_fleet.run(time);
        m_meter.report("settling", report);
        report.add("after settling: waiting watches", static_cast<double>(m_fleet.watches()), "");
    }

    // Normal operation with the changes of the target, and the time until each configuration change is in force at the last node.
    void steady(Duration time)
    {
        const TimePoint end = m_fleet.now() + time;
        std::vector<double> delays;
        double untilList = 1 / ListChangesPerSecond;
        while (m_fleet.now() < end) {
            const std::size_t service = pick(m_services);
            m_fleet.publishSlice(service, "change" + std::to_string(delays.size()));
            const TimePoint published = m_fleet.now();
            const std::uint64_t version = m_fleet.platform().configurationVersion();
            const bool done = m_fleet.runUntil([&] { return isInForce(version); }, Patience);
            delays.push_back(done ? seconds(m_fleet.now() - published) : seconds(Patience));
            const Duration interval
                = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / ConfigurationChangesPerSecond));
            m_fleet.run(std::max<Duration>(0s, published + interval - m_fleet.now()));
            untilList -= seconds(m_fleet.now() - published);
            while (untilList <= 0) {
                m_fleet.publishList(pick(m_services), [](const SimNode &) { return true; });
                untilList += 1 / ListChangesPerSecond;
            }
        }
        std::sort(delays.begin(), delays.end());
        report.add("steady: configuration changes measured", static_cast<double>(delays.size()), "");
        report.add("steady: change in force at the last node, median", delays[delays.size() / 2], "s");
        report.add("steady: change in force at the last node, greatest", delays.back(), "s");
        m_meter.report("steady", report);
    }

    // One host dies, one member leaves; without any call traffic that would show it sooner.
    void oneHost(bool dies)
    {
        const std::size_t victim = ((m_services / 2) * m_instances) + (dies ? 0 : 1);
        const SimNode &node = m_fleet.nodes()[victim];
        const ServiceId service = node.info.service;
        const NodeId name = node.info.name;
        if (dies) {
            m_fleet.kill(victim, true);
        } else {
            m_fleet.nodes()[victim].membership->announceLeaving();
        }
        const TimePoint begin = m_fleet.now();
        const bool done = m_fleet.runUntil(
            [&] {
                return std::all_of(m_fleet.nodes().begin(), m_fleet.nodes().end(),
                                   [&](const SimNode &n) { return !n.alive || n.info.name == name || !isUsable(n, service, name); });
            },
            Patience);
        const std::string what = dies ? "failed host" : "leaving host";
        report.add(what + ": not used by any caller after", done ? seconds(m_fleet.now() - begin) : -1, "s");
    }

    void loseDomain(Duration time)
    {
        m_fleet.run(5s);
        m_meter.report("before the loss of a domain", report);
        for (std::size_t i = 0; i < m_fleet.nodes().size(); ++i) {
            if (m_fleet.nodes()[i].info.domain.value() == "domain-0") {
                m_fleet.kill(i, true);
            }
        }
        m_fleet.run(time);
        m_meter.report("loss of a domain", report);
    }

    FleetReport report;

private:
    void traceSecond(double second, const std::map<std::string, std::uint64_t> &before)
    {
        const auto &nodes = m_fleet.nodes();
        const auto ready = std::count_if(nodes.begin(), nodes.end(), [](const SimNode &n) { return n.distribution->isReady(); });
        const auto known
            = std::count_if(nodes.begin(), nodes.end(), [](const SimNode &n) { return n.distribution->status().known.version != 0; });
        double peers = 0;
        for (const SimNode &node : nodes) {
            peers += static_cast<double>(node.membership->peers().size());
        }
        std::printf("second %3.0f, with index %td, ready %td, peers %.1f:", second, known, ready,
                    peers / static_cast<double>(nodes.size()));
        for (const auto &[kind, count] : m_fleet.readsOf) {
            const auto found = before.find(kind);
            const std::uint64_t more = count - (found == before.end() ? 0 : found->second);
            if (more > 0) {
                std::printf(" %s %llu;", kind.c_str(), static_cast<unsigned long long>(more));
            }
        }
        std::printf("\n");
        std::fflush(stdout);
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }
    bool isInForce(std::uint64_t version)
    {
        // The node that failed the last check is looked at first.
        auto &nodes = m_fleet.nodes();
        const auto behind = [&](const SimNode &n) {
            return n.alive && n.distribution->inForce().version < version;
        };
        if (behind(nodes[m_last])) {
            return false;
        }
        const auto found = std::find_if(nodes.begin(), nodes.end(), behind);
        m_last = found == nodes.end() ? 0 : static_cast<std::size_t>(found - nodes.begin());
        return found == nodes.end();
    }
    static bool isUsable(const SimNode &node, const ServiceId &service, const NodeId &name)
    {
        const auto all = node.membership->view(service).all;
        return std::any_of(all.begin(), all.end(), [&](const Candidate &c) { return c.name == name && c.usable(); });
    }

    SimFleet m_fleet;
    TrafficMeter m_meter;
    std::size_t m_services;
    std::size_t m_instances;
    std::size_t m_last = 0;
    RandomEngine m_random{7};
};
} // namespace

// Usage: capacity_bench --members N [--services S] [--domains D] [--steady seconds] [--cold-start] [--trace-reads] [--json file]
// `--cold-start` ends after the cold start.
int main(int argc, char **argv)
{
    std::size_t members = 1000;
    std::size_t services = 0;
    std::size_t domains = 20;
    long steady = 60;
    bool coldStartOnly = false;
    bool traceReads = false;
    std::string json;
    const option options[] = {{"members", required_argument, nullptr, 'm'}, {"services", required_argument, nullptr, 's'},
                              {"domains", required_argument, nullptr, 'd'}, {"steady", required_argument, nullptr, 't'},
                              {"json", required_argument, nullptr, 'j'},    {"cold-start", no_argument, nullptr, 'c'},
                              {"trace-reads", no_argument, nullptr, 'r'},   {nullptr, 0, nullptr, 0}};
    for (int key = 0; (key = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        switch (key) {
        case 'm':
            members = std::strtoul(optarg, nullptr, 10);
            break;
        case 's':
            services = std::strtoul(optarg, nullptr, 10);
            break;
        case 'd':
            domains = std::strtoul(optarg, nullptr, 10);
            break;
        case 't':
            steady = std::strtol(optarg, nullptr, 10);
            break;
        case 'c':
            coldStartOnly = true;
            break;
        case 'r':
            traceReads = true;
            break;
        case 'j':
            json = optarg;
            break;
        default:
            return 2;
        }
    }
    // The target has 890 services with 31 instances each on average; smaller fleets keep the instances.
    constexpr std::size_t Instances = 31;
    services = services == 0 ? std::max<std::size_t>(1, members / Instances) : services;
    Capacity capacity(services, std::max<std::size_t>(1, members / services), domains);
    const std::size_t perService = members / services;
    capacity.report.add("members", static_cast<double>(services * perService), "");
    capacity.report.add("services", static_cast<double>(services), "");
    capacity.coldStart(traceReads);
    if (!coldStartOnly) {
        capacity.settle(20s);
        capacity.steady(std::chrono::seconds(steady));
        capacity.oneHost(true);
        capacity.oneHost(false);
        capacity.loseDomain(10s);
    }
    if (!json.empty()) {
        std::ofstream(json) << capacity.report.json();
    }
    return 0;
}
