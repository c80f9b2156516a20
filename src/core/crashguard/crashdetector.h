#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/base/requestkey.h"
#include "core/crashguard/crashguardoptions.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// Tells a crash of the local backend server from single broken connections.
class CrashDetector
{
public:
    explicit CrashDetector(const CrashGuardOptions &options);

    void started(CallId call, const RequestKey &fingerprint, TimePoint now);
    // Returns the fingerprint of the call if it was in flight. A whole answer shows that the backend server lives.
    std::optional<RequestKey> completed(CallId call);
    void abandoned(CallId call);
    // Returns the fingerprints in flight if the break shows a crash. One call alone is enough if it was suspected before.
    std::vector<RequestKey> broken(CallId call, bool suspected, TimePoint now);
    std::vector<RequestKey> refused(TimePoint now);
    const std::unordered_map<CallId, RequestKey> &inFlight() const;

private:
    std::vector<RequestKey> takeBroken();

    const CrashGuardOptions &m_options;
    std::unordered_map<CallId, RequestKey> m_inFlight;
    std::unordered_map<CallId, TimePoint> m_startedAt;
    std::vector<RequestKey> m_broken;
    TimePoint m_firstBreak{};
    bool m_suspectBroken = false;
};

} // namespace wisteriafork
