#include "core/membership/domainwatch.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

namespace {
// With fewer members of a domain than this, its silence cannot be told from the failure of a host.
constexpr std::size_t LeastSilentMembers = 2;
} // namespace

DomainWatch::DomainWatch(DomainId own, std::size_t silentMembers, bool enabled)
    : m_own(std::move(own)), m_silentMembers(silentMembers), m_enabled(enabled)
{
}

void DomainWatch::addMember(const DomainId &domain)
{
    ++m_domains[domain].members;
}

void DomainWatch::removeMember(const DomainId &domain)
{
    Domain &entry = m_domains[domain];
    entry.members -= std::min<std::size_t>(entry.members, 1);
}

bool DomainWatch::noteContact(const DomainId &domain)
{
    const auto found = m_domains.find(domain);
    if (found == m_domains.end()) {
        return false;
    }
    found->second.failed.clear();
    return std::exchange(found->second.silent, false);
}

bool DomainWatch::noteFailure(const DomainId &domain, const NodeId &member)
{
    if (!m_enabled || domain == m_own) {
        return false;
    }
    Domain &entry = m_domains[domain];
    const std::uint64_t hash = hash64(member.value());
    if (entry.silent || std::find(entry.failed.begin(), entry.failed.end(), hash) != entry.failed.end()) {
        return false;
    }
    entry.failed.push_back(hash);
    const std::size_t needed = std::clamp(entry.members, LeastSilentMembers, std::max(m_silentMembers, LeastSilentMembers));
    entry.silent = entry.failed.size() >= needed;
    return entry.silent;
}

bool DomainWatch::isSilent(const DomainId &domain) const
{
    const auto found = m_domains.find(domain);
    return found != m_domains.end() && found->second.silent;
}

void DomainWatch::reset()
{
    for (auto &[domain, entry] : m_domains) {
        entry.failed.clear();
    }
}

} // namespace wisteriafork
