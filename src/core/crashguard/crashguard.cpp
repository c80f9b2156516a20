#include "core/crashguard/crashguard.h"
namespace wisteriafork {
CrashGuard::CrashGuard(CrashGuardOptions options, const Clock &clock) : m_options(std::move(options)), m_clock(clock)
{
}
CrashVerdict CrashGuard::start(CallId, const RequestKey &)
{
    (void)m_clock;
    return CrashVerdict::Run;
}
void CrashGuard::completed(CallId)
{
}
void CrashGuard::abandoned(CallId)
{
}
void CrashGuard::connectionBroken(CallId)
{
}
void CrashGuard::connectionRefused()
{
}
bool CrashGuard::banned(const RequestKey &) const
{
    return false;
}
void CrashGuard::receive(const CrashSuspects &)
{
}
std::optional<CrashSuspects> CrashGuard::takeReports()
{
    return std::nullopt;
}
void CrashGuard::tick()
{
}
} // namespace wisteriafork
