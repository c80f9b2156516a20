#pragma once

#include "core/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// Tells a partition from dead hosts: a failure domain is silent when several of its members failed and none answered in between.
class DomainWatch
{
public:
    DomainWatch(DomainId own, std::size_t silentMembers, bool enabled);

    // One more or one less known member of the domain.
    void addMember(const DomainId &domain);
    void removeMember(const DomainId &domain);
    // Returns true if the domain was silent until now.
    bool noteContact(const DomainId &domain);
    // Returns true if the domain fell silent with this failure.
    bool noteFailure(const DomainId &domain, const NodeId &member);
    bool isSilent(const DomainId &domain) const;
    // Forgets failures that this process may have caused by its own pause.
    void reset();

private:
    struct Domain
    {
        std::size_t members = 0;
        // Hashes of the members that failed since the last contact, at most `silentMembers`.
        std::vector<std::uint64_t> failed;
        bool silent = false;
    };

    DomainId m_own;
    std::size_t m_silentMembers;
    bool m_enabled;
    std::unordered_map<DomainId, Domain> m_domains;
};

} // namespace wisteriafork
