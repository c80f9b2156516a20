#pragma once

#include "core/config/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

enum class ChangeKind : std::uint8_t {
    Added,
    Removed,
    Changed,
};

// One difference between two configurations.
struct ConfigurationChange
{
    ChangeKind kind = ChangeKind::Changed;
    // Path of member names and ids, for example "services/registar/operations/read-shelf/callerWaitMs".
    std::string place;
    // JSON texts of the value in both configurations; empty in the one that does not have the place.
    std::string before;
    std::string after;

    friend bool operator==(const ConfigurationChange &, const ConfigurationChange &) = default;
};

// All differences, ordered by place. Services and operations are matched by id; an added or removed one is one change. The lists of failure
// domains and workspaces are compared without regard to order, and each list that differs is one change.
std::vector<ConfigurationChange> compareConfigurations(const Configuration &before, const Configuration &after);

// Human-readable text with one line per change; empty if there are no changes.
std::string describeChanges(const std::vector<ConfigurationChange> &changes);

// JSON array of objects with the members kind, place, before and after. A missing value is null.
std::string changesToJson(const std::vector<ConfigurationChange> &changes);

} // namespace wisteriafork
