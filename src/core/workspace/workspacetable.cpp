#include "core/workspace/workspacetable.h"

#include <cstring>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace wisteriafork {

namespace {

std::uint64_t prefixOf(const KeyDigest &digest)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), sizeof(prefix));
    return prefix;
}

} // namespace

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

WorkspaceTable::WorkspaceTable(std::vector<Workspace> workspaces) : m_workspaces(std::move(workspaces))
{
    for (std::size_t index = 0; index < m_workspaces.size(); ++index) {
        m_indexByName.emplace(m_workspaces[index].name, index);
        for (const KeyDigest &digest : m_workspaces[index].keys) {
            const std::optional<std::size_t> known = findEntry(digest);
            if (!known) {
                m_entryByPrefix.emplace(prefixOf(digest), m_entries.size());
                m_entries.push_back({.digest = digest, .workspace = index});
            } else if (m_entries[*known].workspace != index && !m_entries[*known].ambiguous) {
                m_entries[*known].ambiguous = true;
                ++m_ambiguousKeys;
            }
        }
    }
}

const Workspace *WorkspaceTable::findByKey(std::string_view key) const
{
    const std::optional<std::size_t> found = findEntry(digestOfKey(key));
    return found && !m_entries[*found].ambiguous ? &m_workspaces[m_entries[*found].workspace] : nullptr;
}

const Workspace *WorkspaceTable::findByName(std::string_view name) const
{
    const auto found = m_indexByName.find(name);
    return found == m_indexByName.end() ? nullptr : &m_workspaces[found->second];
}

std::optional<std::size_t> WorkspaceTable::findEntry(const KeyDigest &digest) const
{
    const auto [begin, end] = m_entryByPrefix.equal_range(prefixOf(digest));
    for (auto candidate = begin; candidate != end; ++candidate) {
        if (CRYPTO_memcmp(m_entries[candidate->second].digest.data(), digest.data(), digest.size()) == 0) {
            return candidate->second;
        }
    }
    return std::nullopt;
}

} // namespace wisteriafork
