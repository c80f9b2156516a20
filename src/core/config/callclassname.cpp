#include "core/config/callclassname.h"

#include <array>
#include <cstddef>

namespace wisteriafork {

namespace {

// Indexed by the value of the enumerator.
constexpr std::array<std::string_view, 3> ClassNames{"bulk", "read", "critical"};

} // namespace

std::string_view callClassName(CallClass callClass)
{
    const auto index = static_cast<std::size_t>(callClass);
    return index < ClassNames.size() ? ClassNames[index] : "unknown";
}

std::optional<CallClass> parseCallClass(std::string_view name)
{
    for (std::size_t index = 0; index < ClassNames.size(); ++index) {
        if (ClassNames[index] == name) {
            return static_cast<CallClass>(index);
        }
    }
    return std::nullopt;
}

} // namespace wisteriafork
