#include "nodepair.h"
#include "pathload.h"

#include <cinttypes>
#include <cstdio>
#include <cstdlib>

using namespace wisteriafork;

namespace {

constexpr std::chrono::milliseconds SendInterval{1};
constexpr std::size_t Connections = 256;

void runFor(asio::io_context &context, std::chrono::milliseconds time)
{
    context.restart();
    context.run_for(time);
}

// Sends at the same rate over both paths, alternating, and returns when all answers are there or a bound has passed.
void runOpenLoop(asio::io_context &context, PathLoad &direct, PathLoad &nodes, double rate, std::chrono::seconds time)
{
    std::mt19937_64 random(11);
    std::exponential_distribution<double> gap(rate);
    const auto start = std::chrono::steady_clock::now();
    double due = gap(random);
    bool nodesFirst = false;
    Timer timer(asio::make_strand(context));
    std::function<void()> sendDue = [&] {
        const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        while (due <= elapsed) {
            (nodesFirst ? nodes : direct).send();
            (nodesFirst ? direct : nodes).send();
            nodesFirst = !nodesFirst;
            due += gap(random);
        }
        if (elapsed < static_cast<double>(time.count())) {
            timer.expires_after(SendInterval / 4);
            timer.async_wait([&](const ErrorCode &) { sendDue(); });
        }
    };
    sendDue();
    runFor(context, time);
    for (int i = 0; i < 200 && direct.inFlight() + nodes.inFlight() > 0; ++i) {
        runFor(context, std::chrono::milliseconds(10));
    }
}

double milliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void printRow(double share, double rate, PathLoad &direct, PathLoad &nodes)
{
    const std::uint64_t ended = nodes.refused() + nodes.answered();
    std::printf("%3.0f%% %7.0f/s  refused %" PRIu64 " of %" PRIu64, share * 100, rate, std::uint64_t{nodes.refused()}, ended);
    for (const double percentile : {0.5, 0.99, 0.999}) {
        const double without = milliseconds(direct.percentile(percentile));
        const double with = milliseconds(nodes.percentile(percentile));
        std::printf("  p%-4g direct %6.3f nodes %6.3f added %6.3f ms", percentile * 100, without, with, with - without);
    }
    std::printf("\n");
}

} // namespace

// Measures the time that two nodes add to a call, against direct calls of the same server in the same run.
//   process_bench [workers] [seconds per load] [log level]
int main(int argc, char **argv)
{
    const unsigned workers = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 1;
    const std::chrono::seconds time(argc > 2 ? std::atoi(argv[2]) : 5);
    NodePair pair({.workers = workers, .logLevel = argc > 3 ? argv[3] : "info"});
    asio::io_context context;
    PathLoad direct(context, pair.server.port(), Connections);
    PathLoad nodes(context, pair.edgePort, Connections);

    nodes.startClosedLoop(16);
    runFor(context, std::chrono::seconds(2));
    nodes.clear();
    const auto edgeBefore = pair.edge->cpuTime();
    const auto servingBefore = pair.serving->cpuTime();
    const auto start = std::chrono::steady_clock::now();
    runFor(context, time);
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    const double capacity = static_cast<double>(nodes.answered()) / elapsed;
    const auto perCpuSecond = [&](std::chrono::microseconds used) {
        return static_cast<double>(nodes.answered()) / (static_cast<double>(used.count()) / 1e6);
    };
    std::printf("workers %u, closed loop with 16 in flight: %.0f calls/s, refused %llu\n", workers, capacity,
                static_cast<unsigned long long>(nodes.refused()));
    std::printf("calls per CPU-second: edge node %.0f, serving node %.0f\n", perCpuSecond(pair.edge->cpuTime() - edgeBefore),
                perCpuSecond(pair.serving->cpuTime() - servingBefore));
    nodes.stop();
    runFor(context, std::chrono::seconds(1));

    for (const double share : {0.25, 0.5, 0.75}) {
        direct.clear();
        nodes.clear();
        runOpenLoop(context, direct, nodes, share * capacity, time);
        printRow(share, share * capacity, direct, nodes);
    }
    std::printf("target: 0.420 ms added at p99\n");
    return 0;
}
