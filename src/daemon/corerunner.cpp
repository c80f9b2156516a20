#include "daemon/corerunner.h"

#include <utility>

namespace wisteriafork {

CoreRunner::CoreRunner(NodeOptions options, const Clock &clock, ActionExecutor &executor)
    : m_executor(executor), m_core(std::move(options), clock)
{
    refreshClassifier();
}

void CoreRunner::post(const Event &event, CallId call)
{
    std::unique_lock lock(m_mutex);
    std::vector<Action> actions = m_core.handle(event);
    refreshClassifier();
    m_batches.push_back({.actions = std::move(actions), .call = call});
    if (m_executing) {
        return;
    }
    m_executing = true;
    while (!m_batches.empty()) {
        const Batch batch = std::move(m_batches.front());
        m_batches.pop_front();
        lock.unlock();
        m_executor.execute(batch.actions, batch.call);
        lock.lock();
    }
    m_executing = false;
}

std::shared_ptr<const RequestClassifier> CoreRunner::classifier() const
{
    const std::lock_guard lock(m_classifierMutex);
    return m_classifier;
}

void CoreRunner::refreshClassifier()
{
    const Configuration *configuration = m_core.configuration();
    if (configuration == nullptr || (m_classifier && m_classifier->configurationVersion() == configuration->version)) {
        return;
    }
    auto fresh = std::make_shared<const RequestClassifier>(*configuration);
    const std::lock_guard lock(m_classifierMutex);
    m_classifier = std::move(fresh);
}

} // namespace wisteriafork
