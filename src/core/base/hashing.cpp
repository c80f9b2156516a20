#include "core/base/hashing.h"

#include <string>

#include <xxhash.h>

namespace wisteriafork {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

RequestKey hashParts(std::span<const std::string_view> parts)
{
    std::string joined;
    for (const std::string_view part : parts) {
        const std::uint64_t size = part.size();
        joined.append(reinterpret_cast<const char *>(&size), sizeof(size));
        joined.append(part);
    }
    const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
    return {.high = hash.high64, .low = hash.low64};
}

} // namespace wisteriafork
