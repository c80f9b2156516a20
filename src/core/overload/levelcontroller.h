#pragma once

#include "core/base/clock.h"
#include "core/base/loadreport.h"
#include "core/overload/admissionlevel.h"
#include "core/overload/levelcontrolleroptions.h"

#include <array>

namespace wisteriafork {

// Admission level of one instance, from its measured queueing.
//
// In each window the admitted rate is moved towards the rate at which the queue would reach its target delay within the correction time.
// The step is damped by the delay after which a change shows, because calls that are already on the way arrive regardless.
class LevelController
{
public:
    LevelController(LevelControllerOptions options, const Clock &clock);

    // Counts a call that is run or queued.
    void arrived(CallClass callClass);

    // Closes the window if it is over. `queued` is the number of waiting calls, `queuedCritical` that of critical ones among them, and
    // `capacity` the calls per second that the server can run.
    void update(double queued, double queuedCritical, double capacity);

    // Makes the level at least as strict as this at once.
    void tighten(double scale);
    // Makes the level at least as open as this at once.
    void relax(double scale);

    double scale() const
    {
        return m_scale;
    }

    // The level with its cut rounded so that successive reports average to the scale: one step of the cut can be worth more calls than a
    // queue should take when many old clients resend.
    AdmissionLevel nextLevel();

private:
    void learnDensity(double seconds);
    void tightenBy(double factor, bool alsoCritical);
    void open(double ratio, double windows, bool isShort);
    double admittedMass(double scale) const;
    double scaleForMass(double mass) const;

    LevelControllerOptions m_options;
    const Clock &m_clock;
    double m_scale = FullScale;
    double m_residual = 0.0;
    TimePoint m_windowStart;
    std::array<double, 3> m_arrivals{};
    // Estimated calls per second of each class if nothing were refused.
    std::array<double, 3> m_density{};
    double m_arrivalRate = 0.0;
    double m_rise = 0.0;
    TimePoint m_riseHalved;
    // Mean of the level over the settle time, and when it last opened.
    double m_settled = FullScale;
    TimePoint m_opened;
};

} // namespace wisteriafork
