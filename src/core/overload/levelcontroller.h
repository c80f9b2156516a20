#pragma once

#include "core/base/clock.h"
#include "core/base/loadreport.h"
#include "core/overload/admissionlevel.h"
#include "core/overload/arrivalspread.h"
#include "core/overload/levelcontrolleroptions.h"

#include <array>
#include <cstdint>

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
    void arrived(CallClass callClass, std::uint64_t requestHash);

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
    void learnDensity(double passed);
    // Moves the level towards the one which the edges apply.
    void followSpread(double weight, bool recovering);
    // True if the calls of all classes would fit if only fresh ones came: what fills the server then are resends of refused requests.
    bool isRecovering(double capacity) const;
    // Change of the level during an overload, and after it.
    void hold(double queued, double queuedCritical, double capacity, double passed);
    void recover(double capacity, double passed);
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
    ArrivalSpread m_spread;
    // Estimated calls per second of each class if nothing were refused.
    std::array<double, 3> m_density{};
    double m_arrivalRate = 0.0;
    double m_rise = 0.0;
    TimePoint m_riseHalved;
    // Mean of the level over the settle time, and when it last opened.
    double m_settled = FullScale;
    TimePoint m_opened;
    // Level that was open for long enough that no resend of a refused request waits below it any more, the arrivals below it, and the calls
    // per second of each class that these arrivals stand for.
    double m_base = FullScale;
    std::array<double, 3> m_settledArrivals{};
    std::array<double, 3> m_freshDensity{};
    // Units of the scale per second by which the level opens after an overload.
    double m_speed = 0.0;
};

} // namespace wisteriafork
