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
    // All of them.
    Mixed,
};

constexpr const char *soakModeName(SoakMode mode)
{
    switch (mode) {
    case SoakMode::Planned:
        return "planned stops";
    case SoakMode::Links:
        return "faulty links";
    case SoakMode::Signals:
        return "signals";
    case SoakMode::Mixed:
        break;
    }
    return "links and signals";
}

} // namespace wisteriafork::lab
