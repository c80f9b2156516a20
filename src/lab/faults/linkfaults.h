#pragma once

#include <chrono>

namespace wisteriafork::lab {

// Faults of a link. Each share is the probability, from 0 to 1, that the fault hits a piece of data that passes the link.
struct LinkFaults
{
    // The piece arrives late, by up to `maxDelay`.
    double delayShare = 0.0;
    std::chrono::milliseconds maxDelay{0};
    // The connection is reset in both directions instead.
    double resetShare = 0.0;
    // Only the beginning of the piece arrives; then the connection is closed, reset or silent.
    double cutShare = 0.0;
    // The piece and all later ones are lost without a reset, in this direction or in both.
    double silenceShare = 0.0;
    // Before the response to a request, the previous response on the connection arrives once more, as a whole.
    double repeatShare = 0.0;
    // Before the response to a request, only the beginning of the previous response arrives once more.
    double fragmentShare = 0.0;
};

} // namespace wisteriafork::lab
