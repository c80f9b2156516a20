#pragma once

#include "core/base/ids.h"

#include <cstddef>
#include <map>

namespace wisteriafork {

// Indexes of the names in a configuration, in the order in which they were first added. Index 0 stands for unknown names. Indexes are only
// added, because calls that run refer to them.
template <typename Id>
class AdmissionIndexes
{
public:
    std::size_t add(const Id &id)
    {
        return m_indexes.emplace(id, m_indexes.size() + 1).first->second;
    }

    std::size_t indexOf(const Id &id) const
    {
        const auto found = m_indexes.find(id);
        return found == m_indexes.end() ? 0 : found->second;
    }

    // Number of indexes, with that for unknown names.
    std::size_t size() const
    {
        return m_indexes.size() + 1;
    }

private:
    std::map<Id, std::size_t> m_indexes;
};

} // namespace wisteriafork
