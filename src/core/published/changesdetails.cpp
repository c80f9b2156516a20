#include "core/published/changesdetails.h"

#include <charconv>

namespace wisteriafork {

namespace {

// The text consists of entries "name=number", separated by semicolons.
constexpr char EntrySeparator = ';';
constexpr std::string_view ConfirmedName = "confirmed";

void addEntry(std::string &text, std::string_view name, std::int64_t value)
{
    if (!text.empty()) {
        text += EntrySeparator;
    }
    text.append(name).append("=").append(std::to_string(value));
}

std::optional<std::int64_t> findEntry(std::string_view text, std::string_view name)
{
    while (!text.empty()) {
        const std::string_view entry = text.substr(0, text.find(EntrySeparator));
        text.remove_prefix(std::min(text.size(), entry.size() + 1));
        if (entry.size() <= name.size() || !entry.starts_with(name) || entry[name.size()] != '=') {
            continue;
        }
        std::int64_t value = 0;
        const char *end = entry.data() + entry.size();
        const auto parsed = std::from_chars(entry.data() + name.size() + 1, end, value);
        if (parsed.ec == std::errc() && parsed.ptr == end) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace

std::string encodeDetails(const ChangesResponse &response)
{
    std::string text;
    if (response.confirmedAfterArrival) {
        addEntry(text, ConfirmedName, response.confirmedAfterArrival->count());
    }
    return text;
}

void decodeDetails(std::string_view text, ChangesResponse &response)
{
    if (const auto confirmed = findEntry(text, ConfirmedName)) {
        response.confirmedAfterArrival = std::chrono::microseconds(*confirmed);
    }
}

} // namespace wisteriafork
