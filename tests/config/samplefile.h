#pragma once

#include "sourcefolder.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace wisteriafork {

// Text of a file in the folder samples/; empty if it cannot be read.
inline std::string readSample(const std::string &name)
{
    std::ifstream file(sourceFolder() / "samples" / name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace wisteriafork
