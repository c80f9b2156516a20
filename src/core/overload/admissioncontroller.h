#pragma once

#include "core/base/calldescription.h"
#include "core/base/clock.h"
#include "core/base/loadreport.h"
#include "core/config/configuration.h"
#include "core/overload/admissionoptions.h"
#include "core/overload/admissionresult.h"
#include "core/overload/calloutcome.h"

#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace wisteriafork {

// Decides which calls the local backend server runs, and when. One per node.
//
// Each call is offered once; the answer is to run it, that it waits, or a refusal. A waiting call is named by a later `poll()` to run or as
// refused. Each call that runs is finished or cancelled exactly once. `poll()` must be called after `finish()` and `cancel()` and on each
// tick. Not thread safe.
class AdmissionController
{
public:
    AdmissionController(AdmissionOptions options, const Clock &clock);
    ~AdmissionController();
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController &operator=(const AdmissionController &) = delete;

    // Takes over slots, operations and tenants of a configuration. Calls that run or wait are kept.
    void configure(const ServiceConfiguration &service, std::span<const TenantConfiguration> tenants);

    // Decides on a call that is to run on the local backend server. The id must not be in use.
    AdmissionResult offer(const CallDescription &call);

    // Ends a call that runs. `waitedBelow` is the time that it spent waiting for its own calls to other services. Unknown ids are ignored.
    void finish(CallId id, CallOutcome outcome, Duration waitedBelow = Duration(0));

    // Ends a call that runs or waits because its caller is gone. Returns true if the call was running, so that the server is told.
    bool cancel(CallId id);

    // Waiting calls that run now or are refused now.
    std::vector<AdmissionResult> poll();

    // Answer of the backend server's load endpoint: a hint that is checked against what was measured.
    void serverLoadRead(std::uint32_t running, std::uint32_t slots);

    // The backend server has restarted or crashed: it is cold. Calls that ran are finished by the caller of this function.
    void serverRestarted();

    // Load of this instance. `levelBelow` and `leaving` are left for the node to fill in.
    LoadReport report();

    std::size_t runningCount() const;
    std::size_t queuedCount() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace wisteriafork
