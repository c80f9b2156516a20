#pragma once

#include "core/base/clock.h"
#include "lab/model/callerload.h"
#include "lab/model/modelcall.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace wisteriafork::lab {

class Model;

// The old callers of the model: they begin requests at random times, wait for the answer, and send again until the time for resends is up.
class ModelCallers
{
public:
    // The model must outlive the callers. Its nodes are used from `start()` on.
    ModelCallers(Model &model, CallerLoad load);

    // Begins requests up to the end of the run.
    void start();

private:
    void beginRequests();
    void begin();
    std::size_t drawEntry();
    void send(const std::shared_ptr<CallerRequest> &request);
    std::shared_ptr<OutgoingCall> callOf(const std::shared_ptr<RequestSend> &attempt);
    void sendEnded(const std::shared_ptr<RequestSend> &attempt, bool complete, bool timedOut);

    Model &m_model;
    CallerLoad m_load;
    TimePoint m_start;
    // Calls that a request at each entry causes, and the number of places in each tree.
    std::vector<CallTree> m_trees;
    std::vector<std::size_t> m_treeSizes;
    std::uint64_t m_lastRequest = 0;
};

} // namespace wisteriafork::lab
