#include "core/overload/levelcontroller.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Share of a class that must be admitted before its arrivals say how many calls the whole class has.
constexpr double LeastShareForDensity = 0.02;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LevelController::LevelController(LevelControllerOptions options, const Clock &clock)
    : m_options(options), m_clock(clock), m_windowStart(clock.now())
{
}

void LevelController::arrived(CallClass callClass)
{
    m_arrivals[static_cast<std::size_t>(callClass)] += 1.0;
}

void LevelController::update(double queued, double capacity)
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
    const double target = capacity * seconds(m_options.targetDelay);
    const double wanted = std::max(capacity - (queued - target) / seconds(m_options.correctionTime), capacity * 0.02);
    const double ratio = wanted / std::max(m_arrivalRate, capacity * 0.001);
    const double windows = passed / seconds(m_options.window);
    if (ratio >= 1.0) {
        const double idle = std::min(1.0, passed / seconds(m_options.idleRecovery));
        const double growth = std::min(ratio, std::pow(queued < 1.0 ? m_options.riseWhenIdle : m_options.rise, windows));
        m_scale = std::min(FullScale, std::max(scaleForMass(admittedMass(m_scale) * growth), m_scale + idle * FullScale * 0.1));
    } else if (queued > target / 2) {
        const double damping = std::min(1.0, passed / seconds(m_options.feedbackDelay));
        const double lower = scaleForMass(admittedMass(m_scale) * std::pow(ratio, damping));
        // Critical calls are cut only if they alone are more than the server can run: without the others the queue drains anyway.
        const double least = m_density[static_cast<std::size_t>(CallClass::Critical)] < capacity ? CutsPerClass : 0.0;
        m_scale = std::min(m_scale, std::max(lower, least));
    }
}

void LevelController::tighten(double scale)
{
    m_scale = std::min(m_scale, scale);
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
    double rate = 0.0;
    for (std::size_t index = 0; index < m_density.size(); ++index) {
        const double classRate = m_arrivals[index] / passed;
        rate += classRate;
        const double share = admittedShare(m_scale, static_cast<CallClass>(index));
        if (share >= LeastShareForDensity) {
            m_density[index] += weight * (classRate / share - m_density[index]);
        }
        m_arrivals[index] = 0.0;
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
