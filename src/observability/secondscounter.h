#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace wisteriafork {

// Counts per second over the last minute. Seconds are numbered by the caller and never go back.
class SecondsCounter
{
public:
    static constexpr std::int64_t Window = 60;

    void add(std::int64_t second, std::uint32_t amount = 1)
    {
        advance(second);
        m_counts[index(second)] += amount;
    }

    // Mean rate over the last minute, or over the time since `begin` if that is shorter.
    double perSecond(std::int64_t second, std::int64_t begin) const
    {
        std::uint64_t total = 0;
        for (std::int64_t at = std::max(begin, second - Window + 1); at <= std::min(second, m_last); ++at) {
            total += at > m_last - Window ? m_counts[index(at)] : 0;
        }
        const std::int64_t covered = std::clamp<std::int64_t>(second - begin + 1, 1, Window);
        return static_cast<double>(total) / static_cast<double>(covered);
    }

private:
    static std::size_t index(std::int64_t second)
    {
        return static_cast<std::size_t>(second % Window);
    }

    // Clears the seconds that were skipped.
    void advance(std::int64_t second)
    {
        for (std::int64_t at = std::max(m_last + 1, second - Window + 1); at <= second; ++at) {
            m_counts[index(at)] = 0;
        }
        m_last = std::max(m_last, second);
    }

    std::array<std::uint32_t, static_cast<std::size_t>(Window)> m_counts{};
    std::int64_t m_last = 0;
};

} // namespace wisteriafork
