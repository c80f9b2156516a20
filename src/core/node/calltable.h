#pragma once

#include "core/node/callstate.h"

#include <cstddef>
#include <unordered_map>
#include <utility>

namespace wisteriafork {

// The calls that this node has not finished with, by id. References stay valid until the call is removed.
class CallTable
{
public:
    CallState &add(CallState state)
    {
        const CallId id = state.call.id;
        return m_calls.insert_or_assign(id, std::move(state)).first->second;
    }

    // Null if the call is not known any more.
    CallState *find(CallId id)
    {
        const auto found = m_calls.find(id);
        return found == m_calls.end() ? nullptr : &found->second;
    }

    void remove(CallId id)
    {
        m_calls.erase(id);
    }

    std::size_t size() const
    {
        return m_calls.size();
    }

private:
    std::unordered_map<CallId, CallState> m_calls;
};

} // namespace wisteriafork
