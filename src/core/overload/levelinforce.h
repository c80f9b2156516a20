#pragma once

#include "core/base/clock.h"
#include "core/base/loadreport.h"
#include "core/overload/admissionlevel.h"
#include "core/overload/levelcontroller.h"
#include "core/overload/shedsequence.h"

namespace wisteriafork {

// Admission level that one instance applies and reports: that of its queueing, held in the order of shedding.
class LevelInForce
{
public:
    LevelInForce(LevelControllerOptions level, ReadClosureOptions closure, bool enabled, const Clock &clock);

    // Counts a call that is run or queued.
    void arrived(CallClass callClass, std::uint64_t requestHash);
    // Counts a read that was offered.
    void readOffered();

    // Takes in the queue as `LevelController::update()` does. `idle` is true if the server could take many more calls.
    void update(double queued, double queuedCritical, double capacity, bool idle);

    bool admitsCall(CallClass callClass, std::uint64_t requestHash) const;

    // Closes reads, and tells whether a critical call that the server cannot take may be refused already.
    bool refusesCritical();

    // Level for a load report.
    AdmissionLevel nextLevel();

private:
    LevelController m_wanted;
    ShedSequence m_sequence;
    bool m_closureEnabled;
    bool m_enabled;
    double m_scale = FullScale;
};

} // namespace wisteriafork
