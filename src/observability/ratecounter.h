#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace wisteriafork {

// Counts events in each of the last 60 seconds and gives their mean rate. The caller numbers the seconds from 0; the seconds passed to
// `add` never go back.
class RateCounter
{
public:
    static constexpr std::int64_t WindowSeconds = 60;

    void add(std::int64_t second, std::uint32_t amount = 1)
    {
        advance(second);
        m_counts[index(second)] += amount;
    }

    // Events per second over the 60 seconds that end with `second`, or over the seconds since `begin` if these are fewer.
    double meanPerSecond(std::int64_t second, std::int64_t begin) const
    {
        std::uint64_t total = 0;
        for (std::int64_t at = std::max(begin, second - WindowSeconds + 1); at <= std::min(second, m_lastSecond); ++at) {
            total += at > m_lastSecond - WindowSeconds ? m_counts[index(at)] : 0;
        }
        const std::int64_t covered = std::clamp<std::int64_t>(second - begin + 1, 1, WindowSeconds);
        return static_cast<double>(total) / static_cast<double>(covered);
    }

private:
    static std::size_t index(std::int64_t second)
    {
        return static_cast<std::size_t>(second % WindowSeconds);
    }

    // Clears the counts of the seconds after the last one up to `second`, because their places in the array hold older seconds.
    void advance(std::int64_t second)
    {
        for (std::int64_t at = std::max(m_lastSecond + 1, second - WindowSeconds + 1); at <= second; ++at) {
            m_counts[index(at)] = 0;
        }
        m_lastSecond = std::max(m_lastSecond, second);
    }

    std::array<std::uint32_t, static_cast<std::size_t>(WindowSeconds)> m_counts{};
    std::int64_t m_lastSecond = 0;
};

} // namespace wisteriafork
