#pragma once

#include "core/node/action.h"

#include <utility>
#include <vector>

namespace wisteriafork {

// Collects the actions of one event.
class ActionList
{
public:
    template <typename T>
    void add(T action)
    {
        m_actions.emplace_back(std::move(action));
    }

    std::vector<Action> take()
    {
        return std::exchange(m_actions, {});
    }

private:
    std::vector<Action> m_actions;
};

} // namespace wisteriafork
