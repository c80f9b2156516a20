#pragma once

#include "core/base/finding.h"

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace wisteriafork {

using Findings = std::vector<Finding>;

// Result of reading a text: the value, or the findings that explain why the text was rejected.
template <typename T>
using ValueOrFindings = tl::expected<T, Findings>;

bool hasErrors(const Findings &findings);

// Sorts by line, then by pointer, so that a report follows the text from top to bottom.
void sortFindings(Findings &findings);

// One line of human-readable text, for example "error: line 12: /services/0/slots: expected ...".
std::string describeFinding(const Finding &finding);

// JSON array of objects with the members severity, pointer, line and message.
std::string findingsToJson(const Findings &findings);

// Name of a severity in reports: "error" or "warning".
std::string_view severityName(Severity severity);

} // namespace wisteriafork
