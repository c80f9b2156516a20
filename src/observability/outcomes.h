#pragma once

#include "core/base/clock.h"
#include "observability/outcomesreport.h"

#include <memory>

namespace wisteriafork {

// Counts the outcomes of the calls of callers, and measures goodput and the recovery time of the last overload of each service. Each call
// is recorded once, when it ends. Once there are 4096 keys, calls with further keys are counted under the workspace "_other". Thread safe
// by its own lock, number 4 of the lock order.
class Outcomes
{
public:
    // The clock must outlive the object.
    explicit Outcomes(const Clock &clock);
    ~Outcomes();
    Outcomes(const Outcomes &) = delete;
    Outcomes &operator=(const Outcomes &) = delete;

    // Records a call whose successful response was passed to the caller, `time` after the arrival of the call.
    void recordCompletion(const OutcomeKey &key, Duration time);

    void recordRefusal(const OutcomeKey &key, RefusalReason reason);

    // Records a call that ended with neither success nor refusal: the caller got an error or has disconnected.
    void recordFailure(const OutcomeKey &key);

    // All counts at this moment.
    OutcomesReport report() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wisteriafork
