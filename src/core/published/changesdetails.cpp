#include "core/published/changesdetails.h"

#include <algorithm>
#include <charconv>

namespace wisteriafork {

namespace {

// The text consists of entries "name=number", separated by semicolons.
constexpr char EntrySeparator = ';';
// Bounds the list of a malformed text.
constexpr std::size_t MaxEras = 8;
constexpr std::string_view ConfirmedName = "confirmed";
// Followed by the index of the feed.
constexpr std::string_view EraName = "era";

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

void addEras(std::string &text, const std::vector<std::uint64_t> &eras)
{
    for (std::size_t index = 0; index < eras.size(); ++index) {
        addEntry(text, std::string(EraName) + std::to_string(index), static_cast<std::int64_t>(eras[index]));
    }
}

std::vector<std::uint64_t> findEras(std::string_view text)
{
    std::vector<std::uint64_t> eras;
    while (const auto era = findEntry(text, std::string(EraName) + std::to_string(eras.size()))) {
        eras.push_back(static_cast<std::uint64_t>(std::max<std::int64_t>(0, *era)));
        if (eras.size() == MaxEras) {
            break;
        }
    }
    return eras;
}

} // namespace

std::string encodeDetails(const ChangesRequest &request)
{
    std::string text;
    addEras(text, request.eras);
    return text;
}

std::string encodeDetails(const ChangesResponse &response)
{
    std::string text;
    if (response.confirmedAfterArrival) {
        addEntry(text, ConfirmedName, response.confirmedAfterArrival->count());
    }
    addEras(text, response.eras);
    return text;
}

void decodeDetails(std::string_view text, ChangesRequest &request)
{
    request.eras = findEras(text);
}

void decodeDetails(std::string_view text, ChangesResponse &response)
{
    if (const auto confirmed = findEntry(text, ConfirmedName)) {
        response.confirmedAfterArrival = std::chrono::microseconds(*confirmed);
    }
    response.eras = findEras(text);
}

} // namespace wisteriafork
