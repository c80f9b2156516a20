#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisteriafork {

// SHA-256 hash of an access key.
using KeyDigest = std::array<std::uint8_t, 32>;

KeyDigest digestOfKey(std::string_view key);

// A customer of the platform whose callers identify themselves with access keys.
struct Workspace
{
    std::string name;
    // Digests of the keys that are valid at present; two during a rotation.
    std::vector<KeyDigest> keys;
    // Load shedding priority of its requests, which takes precedence over that of the route; 0 is the most urgent.
    std::optional<unsigned> priority;
    // Quota of the whole fleet: requests per second, and requests that may come at once in addition. No limit if the rate is 0.
    double ratePerSecond = 0.0;
    double burst = 0.0;
};

// The workspaces of one version of the configuration. It keeps only digests of the keys, so that no key can reach a log or another node
// from here. Immutable.
class WorkspaceTable
{
public:
    // A key that two of the workspaces hold identifies neither; `ambiguousKeys` counts such keys.
    explicit WorkspaceTable(std::vector<Workspace> workspaces);

    // Workspace that holds the key; null if there is none. The time that it takes does not depend on how much of a key is right.
    const Workspace *findByKey(std::string_view key) const;
    // Null if there is no workspace with this name.
    const Workspace *findByName(std::string_view name) const;

    const std::vector<Workspace> &workspaces() const
    {
        return m_workspaces;
    }

    std::size_t ambiguousKeys() const
    {
        return m_ambiguousKeys;
    }

private:
    struct Entry
    {
        KeyDigest digest;
        std::size_t workspace = 0;
        bool ambiguous = false;
    };

    // Index of the entry with the digest; empty if there is none.
    std::optional<std::size_t> findEntry(const KeyDigest &digest) const;

    std::vector<Workspace> m_workspaces;
    std::vector<Entry> m_entries;
    // Indices of the entries by the first bytes of the digest.
    std::unordered_multimap<std::uint64_t, std::size_t> m_entryByPrefix;
    std::unordered_map<std::string_view, std::size_t> m_indexByName;
    std::size_t m_ambiguousKeys = 0;
};

} // namespace wisteriafork
