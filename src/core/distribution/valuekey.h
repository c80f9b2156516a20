#pragma once

#include "core/base/ids.h"
#include "core/distribution/valuefamily.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisteriafork {

// Name of the slice that holds tenants, failure domains and bounds.
inline constexpr std::string_view CommonSlice = "_common";

// A key of the configuration service: the index of a family, or the value of one service.
struct ValueKey
{
    ValueFamily family = ValueFamily::Configuration;
    // Empty for the index.
    ServiceId service;

    friend auto operator<=>(const ValueKey &, const ValueKey &) = default;
};

// Text form, for example "config/index" or "hosts/katalog".
std::string formatKey(const ValueKey &key);
// Empty if the text is no key of this system.
std::optional<ValueKey> parseKey(std::string_view text);

} // namespace wisteriafork
