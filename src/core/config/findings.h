#pragma once

#include "core/base/finding.h"

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace wisteriafork {

using Findings = std::vector<Finding>;

// A value that was read without errors, or everything that is wrong with the text.
template <typename T>
using ValueOrFindings = tl::expected<T, Findings>;

bool hasErrors(const Findings &findings);

// Orders by line, then by pointer, so that a report reads from top to bottom.
void sortFindings(Findings &findings);

// One line for people: "error: line 12: /services/0/slots: expected ...".
std::string describeFinding(const Finding &finding);

// JSON array of objects with the members severity, pointer, line and message.
std::string findingsToJson(const Findings &findings);

std::string_view severityName(Severity severity);

} // namespace wisteriafork
