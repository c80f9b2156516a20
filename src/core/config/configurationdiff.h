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
    // Path of names, for example "services/registar/operations/read-shelf/callerWaitMs".
    std::string place;
    // JSON texts; empty if the place does not exist on that side.
    std::string before;
    std::string after;

    friend bool operator==(const ConfigurationChange &, const ConfigurationChange &) = default;
};

// All differences, ordered by place. Elements of lists are matched by their id, so their order does not count. Equal configurations have
// none; an added or removed service, operation or workspace is one change.
std::vector<ConfigurationChange> compareConfigurations(const Configuration &before, const Configuration &after);

// One line per change for people; empty if there is none.
std::string describeChanges(const std::vector<ConfigurationChange> &changes);

// JSON array of objects with the members kind, place, before and after.
std::string changesToJson(const std::vector<ConfigurationChange> &changes);

} // namespace wisteriafork
