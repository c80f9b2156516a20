#pragma once

#include "core/base/finding.h"
#include "core/base/hostlist.h"

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace wisteriafork {

// JSON form of the platform's host list of one service. A text with any error gives all findings and no list.
class HostListJson
{
public:
    static tl::expected<HostList, std::vector<Finding>> parse(std::string_view text);
    static std::string write(const HostList &list);
};

} // namespace wisteriafork
