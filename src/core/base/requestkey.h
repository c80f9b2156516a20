#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace wisteriafork {

// 128-bit hash that identifies one request of a caller across resends.
struct RequestKey
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const RequestKey &, const RequestKey &) = default;
};

} // namespace wisteriafork

template <>
struct std::hash<wisteriafork::RequestKey>
{
    std::size_t operator()(const wisteriafork::RequestKey &key) const noexcept
    {
        return static_cast<std::size_t>(key.high ^ (key.low * 0x9e3779b97f4a7c15ULL));
    }
};
