#include "core/config/objectreader.h"

#include <cmath>
#include <sstream>
#include <utility>

namespace wisteriafork {

namespace {

// Bounds the memory that a hostile text can use: a list of a million invalid elements would give a million findings.
constexpr std::size_t MaximumFindings = 10'000;

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string describeType(const nlohmann::json &value)
{
    return value.type_name();
}

} // namespace

void addFinding(Findings &findings, const LocatedJson &document, Severity severity, std::string pointer, std::string message)
{
    if (findings.size() >= MaximumFindings) {
        return;
    }
    if (findings.size() + 1 == MaximumFindings) {
        // An error, because the omitted findings may include errors.
        findings.push_back({.severity = Severity::Error, .pointer = "", .line = 0, .message = "too many findings; the rest is left out"});
        return;
    }
    const unsigned line = document.lineOf(pointer);
    findings.push_back({.severity = severity, .pointer = std::move(pointer), .line = line, .message = std::move(message)});
}

ObjectReader::ObjectReader(const LocatedJson &document, const nlohmann::json &value, std::string pointer, Findings &findings)
    : m_document(document), m_value(value), m_pointer(std::move(pointer)), m_findings(findings)
{
    if (!m_value.is_object()) {
        addFinding(m_findings, m_document, Severity::Error, m_pointer, "expected an object, found " + describeType(m_value));
    }
}

bool ObjectReader::has(std::string_view name) const
{
    return m_value.is_object() && m_value.contains(name);
}

const nlohmann::json *ObjectReader::member(std::string_view name)
{
    m_knownNames.emplace(name);
    if (!has(name)) {
        return nullptr;
    }
    return &*m_value.find(name);
}

const nlohmann::json *ObjectReader::requiredMember(std::string_view name)
{
    const nlohmann::json *found = member(name);
    if (found == nullptr && m_value.is_object()) {
        addFinding(m_findings, m_document, Severity::Error, m_pointer, "member \"" + std::string(name) + "\" is missing");
    }
    return found;
}

std::string ObjectReader::pointerTo(std::string_view name) const
{
    return childPointer(m_pointer, name);
}

void ObjectReader::reportError(std::string_view name, std::string message)
{
    addFinding(m_findings, m_document, Severity::Error, pointerTo(name), std::move(message));
}

std::string ObjectReader::text(std::string_view name)
{
    const nlohmann::json *found = requiredMember(name);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string()) {
        reportError(name, "expected a text, found " + describeType(*found));
        return {};
    }
    std::string value = found->get<std::string>();
    if (value.empty()) {
        reportError(name, "must not be empty");
    }
    return value;
}

std::string ObjectReader::choice(std::string_view name, const std::vector<std::string_view> &allowed)
{
    std::string value = text(name);
    if (value.empty()) {
        return {};
    }
    std::string list;
    for (const std::string_view candidate : allowed) {
        if (candidate == value) {
            return value;
        }
        list += (list.empty() ? "" : ", ") + std::string(candidate);
    }
    reportError(name, "expected one of " + list + ", found \"" + value + "\"");
    return {};
}

std::uint64_t ObjectReader::integer(std::string_view name, std::uint64_t minimum, std::uint64_t maximum,
                                    std::optional<std::uint64_t> fallback)
{
    const nlohmann::json *found = fallback ? member(name) : requiredMember(name);
    if (found == nullptr) {
        return fallback.value_or(minimum);
    }
    const std::string range = "from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    if (!found->is_number_unsigned()) {
        reportError(name, "expected a whole number " + range + ", found " + (found->is_number() ? found->dump() : describeType(*found)));
        return fallback.value_or(minimum);
    }
    const auto value = found->get<std::uint64_t>();
    if (value < minimum || value > maximum) {
        reportError(name, "expected a whole number " + range + ", found " + std::to_string(value));
        return fallback.value_or(minimum);
    }
    return value;
}

double ObjectReader::number(std::string_view name, double minimum, double maximum, std::optional<double> fallback)
{
    const nlohmann::json *found = fallback ? member(name) : requiredMember(name);
    if (found == nullptr) {
        return fallback.value_or(minimum);
    }
    const double value = found->is_number() ? found->get<double>() : std::nan("");
    if (!std::isfinite(value) || value < minimum || value > maximum) {
        reportError(name,
                    "expected a number from " + formatNumber(minimum) + " to " + formatNumber(maximum) + ", found "
                        + (found->is_number() ? found->dump() : describeType(*found)));
        return fallback.value_or(minimum);
    }
    return value;
}

bool ObjectReader::boolean(std::string_view name)
{
    const nlohmann::json *found = requiredMember(name);
    if (found == nullptr) {
        return false;
    }
    if (!found->is_boolean()) {
        reportError(name, "expected true or false, found " + describeType(*found));
        return false;
    }
    return found->get<bool>();
}

void ObjectReader::forEachElement(std::string_view name, bool isRequired,
                                  const std::function<void(const nlohmann::json &, const std::string &)> &readElement)
{
    const nlohmann::json *found = isRequired ? requiredMember(name) : member(name);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        reportError(name, "expected a list, found " + describeType(*found));
        return;
    }
    const std::string listPointer = pointerTo(name);
    for (std::size_t index = 0; index < found->size(); ++index) {
        readElement((*found)[index], childPointer(listPointer, index));
    }
}

void ObjectReader::requireNonEmptyList(std::string_view name)
{
    const nlohmann::json *found = member(name);
    if (found != nullptr && found->is_array() && found->empty()) {
        reportError(name, "at least one element is needed");
    }
}

std::vector<std::string> ObjectReader::texts(std::string_view name, bool isRequired)
{
    std::vector<std::string> values;
    forEachElement(name, isRequired, [&](const nlohmann::json &element, const std::string &pointer) {
        if (element.is_string() && !element.get_ref<const std::string &>().empty()) {
            values.push_back(element.get<std::string>());
        } else {
            addFinding(m_findings, m_document, Severity::Error, pointer, "expected a text that is not empty");
        }
    });
    return values;
}

void ObjectReader::reportUnknownMembers()
{
    if (!m_value.is_object()) {
        return;
    }
    for (const auto &[name, value] : m_value.items()) {
        if (!m_knownNames.contains(name)) {
            reportError(name, "unknown member");
        }
    }
}

} // namespace wisteriafork
