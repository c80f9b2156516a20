#pragma once

#include "core/base/finding.h"
#include "core/distribution/indexentry.h"
#include "core/distribution/valuefamily.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace wisteriafork {

// Index as it is published.
struct PublishedIndex
{
    std::uint64_t version = 0;
    std::vector<IndexEntry> entries;
};

// JSON form of the published indexes. A text with any error gives all findings and no index.
class IndexJson
{
public:
    static tl::expected<PublishedIndex, std::vector<Finding>> parse(ValueFamily family, std::string_view text);
    static std::string write(ValueFamily family, const PublishedIndex &index);
};

// Hash in its published form: 16 hex digits.
std::string formatHash(std::uint64_t hash);

} // namespace wisteriafork
