#include "core/routing/attemptbudget.h"

namespace wisteriafork {

AttemptBudget::AttemptBudget(std::uint32_t attemptsLeft) : m_kept(attemptsLeft > 0 ? attemptsLeft - 1 : 0)
{
}

std::uint32_t AttemptBudget::startAttempt()
{
    const std::uint32_t here = m_kept >= 2 ? 1 : 0;
    m_handed = m_kept - here;
    m_kept = here;
    return 1 + m_handed;
}

void AttemptBudget::takeBack()
{
    m_kept += m_handed;
    m_handed = 0;
}

bool AttemptBudget::takeRetry()
{
    m_handed = 0;
    if (m_kept == 0) {
        return false;
    }
    --m_kept;
    return true;
}

} // namespace wisteriafork
