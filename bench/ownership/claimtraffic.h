#pragma once

namespace wisteriafork::bench {

// Prints bytes and messages per booking and the time from a booking's arrival at its owner to its run, for 1, 10 and 50 bookings a second
// at each of four nodes, in virtual time.
void printClaimTraffic();

} // namespace wisteriafork::bench
