#pragma once

#include "core/config/findings.h"

#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace wisteriafork {

// A JSON document with the line of each value, so that findings can name lines of the text.
struct LocatedJson
{
    nlohmann::json value;
    // Line of each value by JSON pointer, 1-based. A member of an object has the line of its name.
    std::map<std::string, unsigned> lines;

    // Line of the value at a JSON pointer. If the value is absent, the line of the nearest enclosing value that is present; 0 if the
    // document is empty.
    unsigned lineOf(std::string_view pointer) const;
};

// Parses a JSON text. Reports a text longer than `maximumBytes`, syntax errors, duplicate member names, nesting deeper than 32 levels, and
// long member names with so many values below them that the JSON pointers would need too much memory. Never throws.
ValueOrFindings<LocatedJson> parseLocatedJson(std::string_view text, std::size_t maximumBytes);

// JSON pointer of an object's member, from the pointer of the object and the member name. Escapes the name as RFC 6901 requires.
std::string childPointer(std::string_view pointer, std::string_view name);

// JSON pointer of a list element, from the pointer of the list and the 0-based index.
std::string childPointer(std::string_view pointer, std::size_t index);

} // namespace wisteriafork
