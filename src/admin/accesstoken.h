#pragma once

#include "core/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

enum class AccessRight : std::uint8_t {
    // May read everything that the token covers.
    Reader,
    // May also drain and undrain.
    Operator,
};

// A shorter secret could be guessed.
inline constexpr std::size_t MinimumSecretCharacters = 16;

// One bearer token from the settings.
struct AccessToken
{
    // Identifies the token in the log, in place of the secret.
    std::string name;
    // The bearer token itself, at least `MinimumSecretCharacters` characters.
    std::string secret;
    AccessRight right = AccessRight::Reader;
    // Limits the token to the outcomes of these workspaces. Empty means no limit: all workspaces and all node-wide data.
    std::vector<WorkspaceId> workspaces;
};

} // namespace wisteriafork
