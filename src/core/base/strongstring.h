#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace wisteriafork {

// String with a distinct type for each `Tag`, so that for example a service name cannot be passed where a node name is expected.
template <typename Tag>
class StrongString
{
public:
    StrongString() = default;
    explicit StrongString(std::string value) : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    bool empty() const
    {
        return m_value.empty();
    }

    friend auto operator<=>(const StrongString &, const StrongString &) = default;

private:
    std::string m_value;
};

} // namespace wisteriafork

template <typename Tag>
struct std::hash<wisteriafork::StrongString<Tag>>
{
    std::size_t operator()(const wisteriafork::StrongString<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
