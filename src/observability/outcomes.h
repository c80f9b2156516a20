#pragma once

#include "core/base/clock.h"
#include "observability/outcomesreport.h"

#include <memory>

namespace wisteriafork {

// Counts what became of the calls of callers: goodput of whole requests, refusals by reason, and the recovery time of the
// last overload. Each call ends in exactly one of `completed`, `refused` and `failed`. Thread safe by its own lock,
// number 4 of the lock order. Beyond 4096 keys, further workspaces are counted together as workspace "_other".
class Outcomes
{
public:
    // The clock must outlive the object.
    explicit Outcomes(const Clock &clock);
    ~Outcomes();
    Outcomes(const Outcomes &) = delete;
    Outcomes &operator=(const Outcomes &) = delete;

    // A whole response was passed on.
    void recordCompletion(const OutcomeKey &key, Duration time);

    void recordRefusal(const OutcomeKey &key, RefusalReason reason);

    // The call ended without whole response and without refusal.
    void recordFailure(const OutcomeKey &key);

    OutcomesReport report() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace wisteriafork
