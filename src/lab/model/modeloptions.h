#pragma once

#include "core/overload/admissionoptions.h"
#include "core/overload/edgegateoptions.h"
#include "core/routing/retryoptions.h"
#include "core/routing/routeroptions.h"

namespace wisteriafork::lab {

// Policy of the modelled nodes.
struct ModelOptions
{
    AdmissionOptions admission;
    EdgeGateOptions gate;
    RouterOptions router;
    RetryOptions retry;
    // If off, calls go to the backend server at once, and its own queue is all there is.
    bool admissionEnabled = true;
    // If off, the remaining time does not travel with calls, and work goes on when its caller is gone.
    bool deadlinesEnabled = true;
};

// Pass-through: random instances, three tries at each hop for every failure, no admission, no deadlines, no cancellation.
inline ModelOptions passThroughOptions()
{
    ModelOptions options;
    options.admissionEnabled = false;
    options.deadlinesEnabled = false;
    options.gate.levelsEnabled = false;
    options.gate.sharesEnabled = false;
    options.gate.isolationEnabled = false;
    options.router.powerOfTwo = false;
    options.router.sameDomainFirst = false;
    options.retry.attemptsPerRequest = 3;
    options.retry.budgetEnabled = false;
    options.retry.ratioEnabled = false;
    options.retry.onlyNextToFailure = false;
    options.retry.firstDelay = Duration(0);
    return options;
}

} // namespace wisteriafork::lab
