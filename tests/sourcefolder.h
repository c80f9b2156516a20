#pragma once

#include <cstdlib>
#include <filesystem>

namespace wisteriafork {

// Folder of the sources, from the environment that CTest sets; the present folder if a test is run by hand.
inline std::filesystem::path sourceFolder()
{
    const char *folder = std::getenv("WISTERIAFORK_SOURCE_DIR");
    return folder == nullptr ? std::filesystem::path(".") : std::filesystem::path(folder);
}

} // namespace wisteriafork
