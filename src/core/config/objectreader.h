#pragma once

#include "core/config/locatedjson.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriafork {

// Reads the members of one JSON object and collects findings: missing and unknown members, wrong types, values out of range. A function
// that cannot read its member reports a finding and returns a default, so that one pass reports all findings. Call `reportUnknownMembers`
// last.
class ObjectReader
{
public:
    // `value` must be part of `document`, and `pointer` its JSON pointer; `document` and `findings` must outlive the reader. Reports a
    // value that is not an object.
    ObjectReader(const LocatedJson &document, const nlohmann::json &value, std::string pointer, Findings &findings);

    // Whether the member is present. Does not count as reading it.
    bool has(std::string_view name) const;

    // A required text that is not empty. Returns an empty text if it cannot be read.
    std::string text(std::string_view name);

    // A required text that is one of `allowed`. Returns an empty text if it is not.
    std::string choice(std::string_view name, const std::vector<std::string_view> &allowed);

    // A whole number from `minimum` to `maximum`, both included. Required if there is no fallback. Returns the fallback, or else `minimum`,
    // if the number is absent or invalid.
    std::uint64_t integer(std::string_view name, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback = {});

    // A finite number from `minimum` to `maximum`, both included. Required if there is no fallback. Returns the fallback, or else
    // `minimum`, if the number is absent or invalid.
    double number(std::string_view name, double minimum, double maximum, std::optional<double> fallback = {});

    // A required true or false. Returns false if it cannot be read.
    bool boolean(std::string_view name);

    // A list of texts that are not empty. Reports all other elements and omits them. An absent list gives no texts and is reported if it is
    // required.
    std::vector<std::string> texts(std::string_view name, bool isRequired);

    // Calls `readElement` with each element of a list and the element's JSON pointer. An absent list is reported if it is required.
    void forEachElement(std::string_view name, bool isRequired,
                        const std::function<void(const nlohmann::json &, const std::string &)> &readElement);

    // Reports a list without elements. An absent list and a member of another type are not reported here.
    void requireNonEmptyList(std::string_view name);

    // The member, or null if it is absent. Counts as reading it, as do all functions above except `has`.
    const nlohmann::json *member(std::string_view name);

    // Reports an error for each member of the object that has not been read.
    void reportUnknownMembers();

    // JSON pointer of a member of this object.
    std::string pointerTo(std::string_view name) const;

    // Reports an error at a member of this object.
    void reportError(std::string_view name, std::string message);

    // JSON pointer of this object.
    const std::string &pointer() const
    {
        return m_pointer;
    }

private:
    // Like `member`, but reports an absent member.
    const nlohmann::json *requiredMember(std::string_view name);

    const LocatedJson &m_document;
    const nlohmann::json &m_value;
    std::string m_pointer;
    Findings &m_findings;
    // Names that were passed to `member`.
    std::set<std::string, std::less<>> m_knownNames;
};

// Appends a finding with the line of its pointer. At most 10,000 findings are kept; the last of them is an error that says that the rest is
// left out.
void addFinding(Findings &findings, const LocatedJson &document, Severity severity, std::string pointer, std::string message);

} // namespace wisteriafork
