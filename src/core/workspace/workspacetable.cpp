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
            auto *known = const_cast<Entry *>(findEntry(digest));
            if (known == nullptr) {
                m_entriesByPrefix.emplace(prefixOf(digest), Entry{.digest = digest, .workspace = index});
            } else if (known->workspace != index && !known->ambiguous) {
                known->ambiguous = true;
                ++m_ambiguousKeys;
            }
        }
    }
}

const Workspace *WorkspaceTable::findByKey(std::string_view key) const
{
    const Entry *entry = findEntry(digestOfKey(key));
    return entry == nullptr || entry->ambiguous ? nullptr : &m_workspaces[entry->workspace];
}

const Workspace *WorkspaceTable::findByName(std::string_view name) const
{
    const auto found = m_indexByName.find(name);
    return found == m_indexByName.end() ? nullptr : &m_workspaces[found->second];
}

const WorkspaceTable::Entry *WorkspaceTable::findEntry(const KeyDigest &digest) const
{
    const auto [begin, end] = m_entriesByPrefix.equal_range(prefixOf(digest));
    for (auto entry = begin; entry != end; ++entry) {
        if (CRYPTO_memcmp(entry->second.digest.data(), digest.data(), digest.size()) == 0) {
            return &entry->second;
        }
    }
    return nullptr;
}

} // namespace wisteriafork
