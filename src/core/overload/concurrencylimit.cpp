#include "core/overload/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace wisteriafork {

namespace {

// Calls that give a mean latency good enough to compare: the standard error is below a fifth even for exponential times.
constexpr unsigned MostCallsPerWindow = 30;
// Weight of a lower window mean in the floor. Smaller than 1 because the least of many noisy means lies below the true one.
constexpr double FloorWeight = 0.2;
// A mean within this factor of the floor confirms it.
constexpr double FloorConfirmed = 1.15;
constexpr double TrialFactor = 0.5;
// Halving the concurrency of a contended server brings its latency well below this share.
constexpr double TrialConfirmed = 0.75;
constexpr double GrowthStep = 0.1;
// Share of the floor below which the server itself has become faster.
constexpr double FasterRatio = 0.5;
// Hints are followed downwards only above this growth of latency, and distrusted below it.
constexpr double HintConfirmed = 1.25;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options, const Clock &clock)
    : m_options(options), m_clock(clock), m_windowStart(clock.now()), m_contentionKnownUntil(clock.now())
{
}

void ConcurrencyLimit::setSlots(unsigned slots, std::size_t operations)
{
    m_slots = std::max(1U, slots);
    m_operations.resize(std::max<std::size_t>(1, operations));
    m_limit = std::min(m_limit, m_slots);
    if (!m_configured) {
        m_configured = true;
        restart();
    }
}

void ConcurrencyLimit::restart()
{
    m_slowStart = m_options.slowStart;
    m_limit = m_slowStart ? std::max(1.0, m_slots * m_options.coldShare) : m_slots;
    m_trial = false;
    m_slowWindows = 0;
}

void ConcurrencyLimit::finished(std::size_t operation, Duration ownTime, CallOutcome outcome, unsigned running, TimePoint started)
{
    if (outcome == CallOutcome::Overloaded) {
        ++m_refusals;
    }
    const bool measures = outcome == CallOutcome::Completed || outcome == CallOutcome::TimedOut;
    if (measures && operation < m_operations.size() && !(m_trial && started < m_trialStart)) {
        OperationLatency &latency = m_operations[operation];
        latency.sum += seconds(ownTime);
        ++latency.count;
        ++m_calls;
        m_ownTime += seconds(ownTime);
        m_heldTime += seconds(m_clock.now() - started);
        m_callsAtLimit += running + 1 >= limit() ? 1 : 0;
    }
    const bool longEnough = m_clock.now() - m_windowStart >= m_options.window;
    if (longEnough && (m_calls >= callsPerWindow() || m_refusals > 0)) {
        closeWindow();
    }
}

void ConcurrencyLimit::hint(std::uint32_t running, std::uint32_t slots, unsigned ownRunning)
{
    const bool full = slots > 0 && running >= slots;
    if (!m_options.hintChecked) {
        m_limit = full ? std::max(1.0, m_limit * m_options.decrease) : m_slots;
        return;
    }
    // The server cannot run fewer calls than this node has sent to it: such an answer lags or misleads.
    if (running < ownRunning) {
        return;
    }
    if (full && m_lastRatio > HintConfirmed && slots < m_limit) {
        m_limit = std::max(1.0, static_cast<double>(slots));
    }
}

unsigned ConcurrencyLimit::limit() const
{
    return m_options.adaptive ? static_cast<unsigned>(m_limit) : static_cast<unsigned>(m_slots);
}

unsigned ConcurrencyLimit::callsPerWindow() const
{
    // A few calls are enough to let a cold server grow; a decrease needs a mean that does not reach the tolerance by chance.
    return m_slowStart ? std::clamp(limit(), m_options.windowCalls, std::max(m_options.windowCalls, MostCallsPerWindow))
                       : MostCallsPerWindow;
}

void ConcurrencyLimit::closeWindow()
{
    const double ratio = closeLatencies();
    const bool inUse = m_callsAtLimit * 2 >= m_calls && m_calls > 0;
    adjust(ratio, inUse);
    m_lastRatio = ratio;
    m_windowStart = m_clock.now();
    m_calls = 0;
    m_callsAtLimit = 0;
    m_refusals = 0;
    m_ownTime = 0.0;
    m_heldTime = 0.0;
}

double ConcurrencyLimit::closeLatencies()
{
    const TimePoint now = m_clock.now();
    double measured = 0.0;
    double expected = 0.0;
    for (OperationLatency &latency : m_operations) {
        if (latency.count == 0) {
            continue;
        }
        const double mean = latency.sum / latency.count;
        // A floor given up during a trial would make any latency look like the success of the trial.
        const bool isOld = !m_trial && now - latency.floorSeen > m_options.floorMemory;
        if (latency.floor <= 0.0 || isOld) {
            latency.floor = mean;
        } else if (mean < latency.floor) {
            latency.floor += FloorWeight * (mean - latency.floor);
        }
        if (mean <= latency.floor * FloorConfirmed) {
            latency.floorSeen = now;
        }
        measured += latency.sum;
        expected += latency.floor * latency.count;
        latency.sum = 0.0;
        latency.count = 0;
    }
    return expected > 0.0 ? measured / expected : 1.0;
}

void ConcurrencyLimit::adjust(double ratio, bool inUse)
{
    if (m_refusals > 0) {
        m_slowStart = false;
        m_trial = false;
        shrink(m_options.decrease);
        return;
    }
    if (m_trial) {
        judgeTrial(ratio);
        return;
    }
    if (ratio <= m_options.tolerance) {
        m_slowWindows = 0;
        // A server that has become much faster is no longer contended: its limit is found again as after a cold start.
        m_slowStart = m_slowStart || (m_options.fastRegrowth && ratio <= FasterRatio && m_limit < m_slots);
        if (m_slowStart) {
            m_limit = std::max(m_limit, coldLimit());
        }
        if (inUse) {
            grow();
        }
        return;
    }
    m_slowStart = false;
    if (!inUse) {
        return;
    }
    if (m_clock.now() < m_contentionKnownUntil) {
        shrink(m_options.decrease);
    } else if (++m_slowWindows >= 2) {
        m_trial = true;
        m_trialStart = m_clock.now();
        m_limitBeforeTrial = m_limit;
        m_ratioBeforeTrial = ratio;
        shrink(TrialFactor);
    }
}

void ConcurrencyLimit::judgeTrial(double ratio)
{
    m_trial = false;
    m_slowWindows = 0;
    if (ratio <= m_ratioBeforeTrial * TrialConfirmed) {
        m_contentionKnownUntil = m_clock.now() + m_options.floorMemory;
        return;
    }
    acceptLatencyAsFloor();
    m_limit = m_limitBeforeTrial;
}

void ConcurrencyLimit::grow()
{
    m_limit = m_slowStart ? m_limit * 2 : m_limit + std::max(1.0, m_limit * GrowthStep);
    if (m_limit >= m_slots) {
        m_limit = m_slots;
        m_slowStart = false;
    }
}

double ConcurrencyLimit::coldLimit() const
{
    const double working = m_slots * m_options.coldShare;
    return m_ownTime > 0.0 ? std::min(m_slots, working * m_heldTime / m_ownTime) : working;
}

void ConcurrencyLimit::shrink(double factor)
{
    m_limit = std::max(1.0, m_limit * factor);
}

void ConcurrencyLimit::acceptLatencyAsFloor()
{
    for (OperationLatency &latency : m_operations) {
        // The next window sets the floor anew.
        latency.floor = 0.0;
    }
}

} // namespace wisteriafork
