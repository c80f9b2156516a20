#pragma once

#include <cstdint>

namespace wisteriafork {

// Budget of one call: the first attempt is free, and each retry, here or below, takes one unit of the surplus `attemptsLeft - 1`.
//
// A unit is at any time in exactly one place: kept at this node, or handed to the attempt that is running. Units handed to an attempt come
// back only if it certainly reached no backend server. Therefore the retries of a caller's request never exceed its first surplus.
class AttemptBudget
{
public:
    AttemptBudget() = default;
    explicit AttemptBudget(std::uint32_t attemptsLeft);

    // Starts the first attempt or a retry that `takeRetry()` allowed, and returns the `attemptsLeft` to send with it. One unit is kept for
    // a retry here if there are two or more.
    std::uint32_t startAttempt();

    // Takes back what was handed to the last attempt, which certainly reached no backend server.
    void takeBack();

    // Spends one kept unit for a retry; false if there is none.
    bool takeRetry();

    std::uint32_t kept() const
    {
        return m_kept;
    }

private:
    std::uint32_t m_kept = 0;
    std::uint32_t m_handed = 0;
};

} // namespace wisteriafork
