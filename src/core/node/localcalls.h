#pragma once

#include "core/node/attemptobserver.h"
#include "core/node/event.h"
#include "core/node/nodeparts.h"

#include <vector>

namespace wisteriafork {

// Takes calls through admission, crash guard and attribution to the local backend server, and reports how each ended.
class LocalCalls
{
public:
    LocalCalls(NodeParts &parts, AttemptObserver &observer);

    // Offers the call to the backend server. The observer may be told of a refusal before this returns.
    void run(CallState &state);
    // Stops the call, whether it waits or runs. The observer is not told.
    void cancel(CallState &state);

    void on(const ServerAnswered &event);
    void on(const ServerFailed &event);
    // Starts or refuses calls that have waited. Called after each end of a call and on each tick.
    void poll();

private:
    void apply(CallState &state, const AdmissionResult &result);
    void start(CallState &state);
    // Takes the call off the backend server's books.
    void release(CallState &state, CallOutcome outcome);
    void endRefused(CallState &state, const Refusal &refusal);
    // Refusal of a call that waited and would start now.
    std::optional<Refusal> checkAgain(const CallState &state);
    void offerHeldCalls();

    NodeParts &m_parts;
    AttemptObserver &m_observer;
    // Suspects that wait for another suspect to end.
    std::vector<CallId> m_held;
};

} // namespace wisteriafork
