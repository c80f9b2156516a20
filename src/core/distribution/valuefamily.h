#pragma once

#include <cstdint>

namespace wisteriafork {

// The two published sets of values. Each has an index that names the versions of its values.
enum class ValueFamily : std::uint8_t {
    // `config/index` and `config/slice/<service>`.
    Configuration = 0,
    // `hosts` and `hosts/<service>`.
    Hosts = 1,
};

} // namespace wisteriafork
