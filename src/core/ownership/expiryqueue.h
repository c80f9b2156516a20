#pragma once

#include "core/base/clock.h"

#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace wisteriafork {

// Items ordered by the time at which to look at them again. An item may be queued several times; the user checks whether it has expired.
template <typename Item>
class ExpiryQueue
{
public:
    void push(TimePoint time, Item item)
    {
        m_queue.push({time, std::move(item)});
    }

    // Removes and returns the first item whose time has come.
    std::optional<Item> take(TimePoint now)
    {
        if (m_queue.empty() || m_queue.top().time > now) {
            return std::nullopt;
        }
        Item item = m_queue.top().item;
        m_queue.pop();
        return item;
    }

private:
    struct Entry
    {
        TimePoint time;
        Item item;
    };
    struct Later
    {
        bool operator()(const Entry &first, const Entry &second) const
        {
            return first.time > second.time;
        }
    };

    std::priority_queue<Entry, std::vector<Entry>, Later> m_queue;
};

} // namespace wisteriafork
