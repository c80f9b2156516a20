#include "core/overload/levelcontroller.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wisteriafork {

namespace {

// Share of a class that must be admitted before its arrivals say how many calls the whole class has.
constexpr double LeastShareForDensity = 0.02;
// The same for the rate of fresh calls, which decides on the mode and is averaged over a shorter time.
constexpr double LeastShareForFreshDensity = 0.1;
// Largest growth in one window, for a server that is nearly idle.
constexpr double MostRise = 0.2;
// A queue of this many times its target after the level has opened shows that it opened too fast.
constexpr double BurstFactor = 4.0;
// Share of the earlier level that is kept when such a burst is undone.
constexpr double SettledShare = 0.95;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LevelController::LevelController(LevelControllerOptions options, const Clock &clock)
    : m_options(options), m_clock(clock), m_windowStart(clock.now())
{
}

void LevelController::arrived(CallClass callClass, std::uint64_t requestHash)
{
    const auto index = static_cast<std::size_t>(callClass);
    m_arrivals[index] += 1.0;
    m_spread.arrived(callClass, requestHash);
    m_settledArrivals[index] += admits(m_base, callClass, requestHash) ? 1.0 : 0.0;
}

void LevelController::update(double queued, double queuedCritical, double capacity)
{
    const TimePoint now = m_clock.now();
    const Duration elapsed = now - m_windowStart;
    if (elapsed < m_options.window) {
        return;
    }
    m_windowStart = now;
    const double passed = seconds(elapsed);
    learnDensity(passed);
    if (capacity <= 0.0) {
        return;
    }
    const bool recovering = queued <= capacity * seconds(m_options.targetDelay) / 2 && isRecovering(capacity);
    if (recovering) {
        recover(capacity, passed);
    } else {
        m_speed += std::min(1.0, passed / seconds(m_options.settleTime)) * (m_options.firstSpeed - m_speed);
        hold(queued, queuedCritical, capacity, passed);
    }
    const double weight = std::min(1.0, passed / seconds(m_options.settleTime));
    followSpread(weight, recovering);
    m_settled += weight * (m_scale - m_settled);
    m_base = std::min(m_scale, m_base + weight / 2 * (m_scale - m_base));
}

void LevelController::followSpread(double weight, bool recovering)
{
    const std::optional<double> spread = m_spread.scale();
    m_spread.fade(weight);
    if (!spread || *spread < CutsPerClass || m_scale < CutsPerClass || m_scale >= FullScale) {
        return;
    }
    // An instance whose level is above that of the others does not see the calls that it admits, and would open for ever. While the level
    // opens, resends at its edge make the spread look wider than it is.
    if (!recovering || *spread < m_scale) {
        m_scale += std::min(1.0, m_options.spreadGain * weight) * (*spread - m_scale);
    }
}

bool LevelController::isRecovering(double capacity) const
{
    return m_scale < FullScale && std::accumulate(m_freshDensity.begin(), m_freshDensity.end(), 0.0) < capacity;
}

void LevelController::recover(double capacity, double passed)
{
    const double gap = m_options.recoveryUtilisation - m_arrivalRate / capacity;
    m_speed = std::clamp(m_speed * std::exp(m_options.speedGain * gap * passed), m_options.leastSpeed, m_options.largestSpeed);
    if (gap > 0.0) {
        m_scale = std::min(FullScale, m_scale + m_speed * passed);
        m_opened = m_clock.now();
    }
}

void LevelController::hold(double queued, double queuedCritical, double capacity, double passed)
{
    const TimePoint now = m_clock.now();
    const double target = capacity * seconds(m_options.targetDelay);
    const double correction = (queued - target) / seconds(m_options.correctionTime);
    const double wanted = std::max(capacity - correction, capacity * m_options.leastShare);
    const double ratio = wanted / std::max(m_arrivalRate, capacity * 0.001);
    if (queued > target && now - m_riseHalved >= m_options.feedbackDelay) {
        m_rise = queued > BurstFactor * target ? m_options.firstRise : std::max(m_options.firstRise, m_rise / 2);
        m_riseHalved = now;
    }
    const double usable = m_scale >= 2 * CutsPerClass ? m_options.bulkUtilisation : 1.0;
    if (ratio * usable >= 1.0) {
        open(ratio * usable, passed / seconds(m_options.window), queued <= target / 2);
    } else if (ratio < 1.0 && queued > target / 2) {
        const double damping = std::min(1.0, passed / seconds(m_options.feedbackDelay));
        tightenBy(std::pow(ratio, damping), queuedCritical > capacity * seconds(m_options.criticalDelay));
    }
}

void LevelController::tightenBy(double factor, bool alsoCritical)
{
    double lower = scaleForMass(admittedMass(m_scale) * factor);
    if (m_clock.now() - m_opened < m_options.settleTime) {
        // Opening the level lets in waiting resends once; the rate that was admitted before is still right.
        lower = std::max(lower, std::min(m_scale, m_settled * SettledShare));
    }
    // Without the other classes the queue drains, unless critical calls alone are more than the server can run.
    const double least = alsoCritical ? 0.0 : CutsPerClass;
    m_scale = std::min(m_scale, std::max(lower, least));
}

void LevelController::open(double ratio, double windows, bool isShort)
{
    if (m_scale >= FullScale) {
        return;
    }
    // A server that is far from full can take the resends that a larger step lets in.
    const double rise = std::max(m_rise, m_options.idleGain * (ratio - m_options.idleRatio));
    const double growth = std::min(ratio, std::pow(1.0 + std::min(rise, MostRise), windows));
    const double idle = std::min(1.0, windows * seconds(m_options.window) / seconds(m_options.idleRecovery));
    // Where no call arrives there is no rate to grow from, so the level opens by at least a little.
    const double least = m_arrivalRate < 1.0 ? m_scale + idle * FullScale : m_scale;
    // Critical calls that are refused are let in as fast as the server can take them.
    const double most = std::max<double>(CutsPerClass, m_scale + m_options.holdSpeed * windows * seconds(m_options.window));
    m_scale = std::min({FullScale, most, std::max(scaleForMass(admittedMass(m_scale) * growth), least)});
    m_opened = m_clock.now();
    if (isShort) {
        m_rise
            = std::min(m_options.largestRise,
                       m_rise * std::pow(m_options.riseGrowth, windows * (seconds(m_options.window) / seconds(m_options.feedbackDelay))));
    }
}

void LevelController::tighten(double scale)
{
    m_scale = std::min(m_scale, scale);
}

void LevelController::relax(double scale)
{
    m_scale = std::max(m_scale, scale);
}

AdmissionLevel LevelController::nextLevel()
{
    if (m_scale >= FullScale) {
        m_residual = 0.0;
        return {};
    }
    const double exact = m_scale + m_residual;
    const double whole = std::floor(exact);
    m_residual = exact - whole;
    return fromScale(whole);
}

void LevelController::learnDensity(double passed)
{
    const double weight = std::min(1.0, passed / seconds(m_options.feedbackDelay));
    const double freshWeight = std::min(1.0, passed / seconds(m_options.freshMemory));
    double rate = 0.0;
    for (std::size_t index = 0; index < m_density.size(); ++index) {
        const double classRate = m_arrivals[index] / passed;
        rate += classRate;
        const double share = admittedShare(m_scale, static_cast<CallClass>(index));
        if (share >= LeastShareForDensity) {
            m_density[index] += weight * (classRate / share - m_density[index]);
        }
        const double settledShare = admittedShare(m_base, static_cast<CallClass>(index));
        if (settledShare >= LeastShareForFreshDensity) {
            m_freshDensity[index] += freshWeight * (m_settledArrivals[index] / passed / settledShare - m_freshDensity[index]);
        }
        m_arrivals[index] = 0.0;
        m_settledArrivals[index] = 0.0;
    }
    m_arrivalRate += weight * (rate - m_arrivalRate);
}

double LevelController::admittedMass(double scale) const
{
    double mass = 0.0;
    for (std::size_t index = 0; index < m_density.size(); ++index) {
        mass += m_density[index] * admittedShare(scale, static_cast<CallClass>(index));
    }
    return mass;
}

double LevelController::scaleForMass(double mass) const
{
    double scale = 0.0;
    for (std::size_t above = 0; above < m_density.size(); ++above) {
        const double density = m_density[m_density.size() - 1 - above];
        if (mass < density) {
            return scale + CutsPerClass * mass / density;
        }
        mass -= density;
        scale += CutsPerClass;
    }
    return FullScale;
}

} // namespace wisteriafork
