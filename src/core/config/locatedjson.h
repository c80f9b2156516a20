#pragma once

#include "core/config/findings.h"

#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace wisteriafork {

// A JSON document with the line of each value, so that findings can name their place.
struct LocatedJson
{
    nlohmann::json value;
    // Line of each value by JSON pointer; 1-based. Members of an object have the line of their name.
    std::map<std::string, unsigned> lines;

    // Line of the value, or of its nearest enclosing value that is present; 0 if the document is empty.
    unsigned lineOf(std::string_view pointer) const;
};

// Parses a text. Findings: syntax errors, duplicate member names, nesting deeper than 32, texts larger than `maximumBytes`. Never throws.
ValueOrFindings<LocatedJson> parseLocatedJson(std::string_view text, std::size_t maximumBytes);

// Extends a JSON pointer by a member name, with the escapes of RFC 6901.
std::string childPointer(std::string_view pointer, std::string_view name);

std::string childPointer(std::string_view pointer, std::size_t index);

} // namespace wisteriafork
