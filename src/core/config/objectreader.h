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

// Reads the members of one JSON object and collects findings: missing and unknown members, wrong types, values out of range. A member that
// cannot be read gives the fallback, so that one pass finds everything. Call `reportUnknownMembers` last.
class ObjectReader
{
public:
    // `value` must belong to `document`; both and the findings must outlive the reader. Reports a value that is not an object.
    ObjectReader(const LocatedJson &document, const nlohmann::json &value, std::string pointer, Findings &findings);

    bool has(std::string_view name) const;

    // A required text that is not empty.
    std::string text(std::string_view name);

    // A required text that is one of the given names; empty if it is not.
    std::string choice(std::string_view name, const std::vector<std::string_view> &allowed);

    // An integer within a closed range. Required if there is no fallback.
    std::uint64_t integer(std::string_view name, std::uint64_t least, std::uint64_t greatest, std::optional<std::uint64_t> fallback = {});

    // A finite number within a closed range. Required if there is no fallback.
    double number(std::string_view name, double least, double greatest, std::optional<double> fallback = {});

    bool boolean(std::string_view name);

    // A list of texts that are not empty. An absent list is empty if the member is optional.
    std::vector<std::string> texts(std::string_view name, bool required);

    // Calls `readElement` with each element of a list and its pointer.
    void forEachElement(std::string_view name, bool required,
                        const std::function<void(const nlohmann::json &, const std::string &)> &readElement);

    // Reports a list that is present and has no elements.
    void requireNonEmptyList(std::string_view name);

    // The member, marked as known; null if absent.
    const nlohmann::json *member(std::string_view name);

    void reportUnknownMembers();

    // Pointer of a member of this object.
    std::string pointerTo(std::string_view name) const;

    // Reports an error at a member of this object.
    void reportError(std::string_view name, std::string message);

    const std::string &pointer() const
    {
        return m_pointer;
    }

private:
    const nlohmann::json *required(std::string_view name);

    const LocatedJson &m_document;
    const nlohmann::json &m_value;
    std::string m_pointer;
    Findings &m_findings;
    std::set<std::string, std::less<>> m_known;
};

// Adds a finding with the line of its pointer.
void addFinding(Findings &findings, const LocatedJson &document, Severity severity, std::string pointer, std::string message);

} // namespace wisteriafork
