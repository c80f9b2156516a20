#pragma once

#include "core/node/nodecore.h"
#include "daemon/actionexecutor.h"
#include "net/requestclassifier.h"

#include <deque>
#include <memory>
#include <mutex>

namespace wisteriafork {

// Passes events to the core under one lock and its actions to the executor without a lock, in the order in which the core gave them: the
// thread that finds no other one executing carries out everything that is queued. A cancellation can so never overtake the start that it
// cancels. Thread safe; second in the lock order.
class CoreRunner
{
public:
    CoreRunner(NodeOptions options, const Clock &clock, ActionExecutor &executor);

    // Passes the event on. `call` is the call that it concerns, or 0. The actions may be carried out before this returns, or by another
    // thread afterwards.
    void post(const Event &event, CallId call = 0);
    // Calls the function with the core under its lock. The function must not block.
    template <typename Function>
    void inspect(Function function)
    {
        const std::lock_guard lock(m_mutex);
        function(m_core);
    }
    // Classifier for the configuration in force; null before the first one.
    std::shared_ptr<const RequestClassifier> classifier() const;

private:
    struct Batch
    {
        std::vector<Action> actions;
        CallId call = 0;
    };

    void refreshClassifier();

    ActionExecutor &m_executor;
    mutable std::mutex m_mutex;
    NodeCore m_core;
    std::deque<Batch> m_batches;
    bool m_executing = false;
    mutable std::mutex m_classifierMutex;
    std::shared_ptr<const RequestClassifier> m_classifier;
};

} // namespace wisteriafork
