#pragma once

#include "core/base/clock.h"

#include <chrono>

namespace wisteriafork::test {

// Figures of the simulated service. They keep the proportions of a real one, shortened so that a schedule takes few seconds of virtual
// time.
constexpr int ResendMs = 1200;
constexpr int CallerWaitMs = 800;
constexpr int PauseBoundMs = 1000;
constexpr int ListLagMs = 1000;
constexpr int RetentionMs = ResendMs + CallerWaitMs + PauseBoundMs;
constexpr int IsolationMs = 6000;
// Longest time for which a copy is on its way from the client to the edge node.
constexpr int ClientDelayMs = 100;
// Faults and requests begin within this time.
constexpr int FaultPhaseMs = 4000;
// Time within which every key can be run again once the faults have ended and the lists are right: a lost witness is waited out for the
// retention time, and a claim is kept for two.
constexpr int RecoveryMs = 2 * RetentionMs + ListLagMs + 2000;

constexpr Duration ms(int count)
{
    return std::chrono::milliseconds(count);
}

} // namespace wisteriafork::test
