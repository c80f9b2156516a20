#pragma once

#include <cstdint>

namespace wisteriafork::lab {

// Which faults a run of the soak has.
enum class SoakMode : std::uint8_t {
    // Planned stops, restarts and reloads of nodes only, one at a time for each node.
    Planned,
    // Faulty links and responses.
    Links,
    // Nodes and servers that are paused, killed and stopped.
    Signals,
    // Faulty links and signals.
    Mixed,
    // As `Planned`, with requests that take longer than the nodes have to stop, so that many wait for a slot when their node ends.
    Waits,
    // No faults, but clients that give up most requests after a few milliseconds, so that nodes cancel many requests of each other.
    Cancellations,
};

// Whether nothing but planned stops happens, so that each request has to get its answer.
constexpr bool hasPlannedStopsOnly(SoakMode mode)
{
    return mode == SoakMode::Planned || mode == SoakMode::Waits;
}

constexpr const char *soakModeName(SoakMode mode)
{
    switch (mode) {
    case SoakMode::Planned:
        return "planned stops";
    case SoakMode::Waits:
        return "planned stops with waiting requests";
    case SoakMode::Links:
        return "faulty links";
    case SoakMode::Signals:
        return "signals";
    case SoakMode::Mixed:
        return "links and signals";
    case SoakMode::Cancellations:
        break;
    }
    return "clients that give up";
}

} // namespace wisteriafork::lab
