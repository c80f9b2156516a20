#pragma once

#include "core/config/commonslice.h"
#include "core/config/configuration.h"
#include "core/config/configurationindex.h"
#include "core/config/findings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriafork {

// Name of the slice with tenants, failure domains and bounds.
inline constexpr std::string_view CommonSliceName = "_common";
// Key of the index on the configuration service.
inline constexpr std::string_view IndexKey = "config/index";
// Prefix of the keys of slices on the configuration service.
inline constexpr std::string_view SliceKeyPrefix = "config/slice/";
// Largest value that the configuration service holds, in bytes.
inline constexpr std::size_t MaximumSliceBytes = 1'000'000;

// Key of a slice on the configuration service, for example "config/slice/registar".
std::string sliceKey(std::string_view sliceName);

// 16 lower-case hex digits of `hash64` over the text of a slice.
std::string sliceHash(std::string_view text);

// The print functions give compact JSON with sorted members: equal values give equal texts. The parse functions never throw; they collect
// all findings and return a value only if there is none.
std::string printIndex(const ConfigurationIndex &index);
Checked<ConfigurationIndex> parseIndex(std::string_view text);

std::string printServiceSlice(const ServiceConfiguration &service);
Checked<ServiceConfiguration> parseServiceSlice(std::string_view text);

std::string printCommonSlice(const CommonSlice &common);
Checked<CommonSlice> parseCommonSlice(std::string_view text);

// Part of a configuration that goes into the slice `_common`.
CommonSlice commonSlice(const Configuration &configuration);

// Configuration from its parts. Services are ordered by name, so that the order in which slices were read does not matter. A node passes
// only the services that it needs.
Configuration assembleConfiguration(std::uint64_t version, const CommonSlice &common, std::vector<ServiceConfiguration> services);

} // namespace wisteriafork
