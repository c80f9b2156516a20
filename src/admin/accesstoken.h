#pragma once

#include "core/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

enum class AccessRight : std::uint8_t {
    // May look at everything in its scope.
    Reader,
    // May also drain and undrain.
    Operator,
};

// Shorter secrets could be guessed.
inline constexpr std::size_t LeastSecretLength = 16;

// One bearer token from the settings.
struct AccessToken
{
    // Shown in the log instead of the secret.
    std::string name;
    // The token itself, at least 16 characters.
    std::string secret;
    AccessRight right = AccessRight::Reader;
    // Workspaces whose outcomes the token may see. Empty means all workspaces and everything that is not tied to a workspace.
    std::vector<WorkspaceId> workspaces;
};

} // namespace wisteriafork
