#include "core/distribution/indexjson.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {
using Json = nlohmann::json;
constexpr std::size_t HashDigits = 16;
constexpr int HexBase = 16;

const char *memberName(ValueFamily family)
{
    return family == ValueFamily::Configuration ? "slices" : "services";
}

std::optional<std::uint64_t> parseHash(const std::string &text)
{
    std::uint64_t hash = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, hash, HexBase);
    return text.size() == HashDigits && result.ec == std::errc() && result.ptr == end ? std::optional(hash) : std::nullopt;
}

std::optional<std::uint64_t> parseVersion(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() == 0) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

// Escapes a name for a JSON pointer (RFC 6901).
std::string pointerTo(ValueFamily family, const std::string &name)
{
    return (Json::json_pointer() / memberName(family) / name).to_string();
}

void readEntry(ValueFamily family, const std::string &name, const Json &value, PublishedIndex &index, std::vector<Finding> &findings)
{
    IndexEntry entry{.service = ServiceId(name), .version = 0, .hash = 0};
    if (family == ValueFamily::Hosts) {
        if (!value.is_number_unsigned()) {
            findings.push_back({.pointer = pointerTo(family, name), .message = "the version must be a positive integer"});
            return;
        }
        entry.version = value.get<std::uint64_t>();
    } else {
        const std::optional<std::uint64_t> version = value.is_object() ? parseVersion(value, "version") : std::nullopt;
        const auto hashText = value.is_object() ? value.find("hash") : value.end();
        const std::optional<std::uint64_t> hash = value.is_object() && hashText != value.end() && hashText->is_string()
            ? parseHash(hashText->get<std::string>())
            : std::nullopt;
        if (!version || !hash) {
            findings.push_back(
                {.pointer = pointerTo(family, name), .message = "a slice needs a positive `version` and a `hash` of 16 hex digits"});
            return;
        }
        entry.version = *version;
        entry.hash = *hash;
    }
    index.entries.push_back(std::move(entry));
}
} // namespace

tl::expected<PublishedIndex, std::vector<Finding>> IndexJson::parse(ValueFamily family, std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    std::vector<Finding> findings;
    if (!document.is_object()) {
        findings.push_back({.pointer = "", .message = "the index is no JSON object"});
        return tl::unexpected(std::move(findings));
    }
    PublishedIndex index;
    const std::optional<std::uint64_t> version = parseVersion(document, "version");
    if (!version) {
        findings.push_back({.pointer = "/version", .message = "the index needs a positive integer `version`"});
    }
    index.version = version.value_or(0);
    const auto values = document.find(memberName(family));
    if (values == document.end() || !values->is_object()) {
        findings.push_back({.pointer = std::string("/") + memberName(family), .message = "the index needs an object of its values"});
    } else {
        for (const auto &[name, value] : values->items()) {
            readEntry(family, name, value, index, findings);
        }
    }
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    return index;
}

std::string IndexJson::write(ValueFamily family, const PublishedIndex &index)
{
    Json values = Json::object();
    for (const IndexEntry &entry : index.entries) {
        if (family == ValueFamily::Hosts) {
            values[entry.service.value()] = entry.version;
        } else {
            values[entry.service.value()] = {{"version", entry.version}, {"hash", formatHash(entry.hash)}};
        }
    }
    return Json{{"version", index.version}, {memberName(family), std::move(values)}}.dump();
}

std::string formatHash(std::uint64_t hash)
{
    std::array<char, HashDigits> digits{};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), hash, HexBase);
    const std::string text(digits.data(), result.ptr);
    return std::string(HashDigits - text.size(), '0') + text;
}

} // namespace wisteriafork
