#include "ctl/outcomestext.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iomanip>
#include <ostream>
#include <string>
#include <vector>

namespace wisteriafork {

namespace {

using nlohmann::json;
using Row = std::vector<std::string>;

// Formats a whole number as it is, and a fraction with one decimal.
std::string formatNumber(const json &value)
{
    if (value.is_number_integer()) {
        return std::to_string(value.get<std::int64_t>());
    }
    const auto tenths = std::llround(value.get<double>() * 10);
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

// Prints the rows as a table with aligned columns. The first row is the heading.
void printTable(std::ostream &out, const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const Row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const Row &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

std::string refusalsText(const json &refusals)
{
    std::string text;
    for (const json &refusal : refusals) {
        text += (text.empty() ? "" : ", ") + formatNumber(refusal.at("count")) + " " + refusal.at("reason").get<std::string>();
    }
    return text.empty() ? "none" : text;
}

} // namespace

void printOutcomes(std::ostream &out, const json &outcomes)
{
    out << "outcomes of the last " << formatNumber(outcomes.at("coveredSeconds")) << " s\n";
    std::vector<Row> rows{{"service", "class", "workspace", "goodput/s", "offered/s", "mean ms", "whole", "failed", "refused"}};
    for (const json &row : outcomes.at("rows")) {
        rows.push_back({row.at("service").get<std::string>(), row.at("class").get<std::string>(), row.at("workspace").get<std::string>(),
                        formatNumber(row.at("goodputPerSecond")), formatNumber(row.at("offeredPerSecond")), formatNumber(row.at("meanMs")),
                        formatNumber(row.at("completed")), formatNumber(row.at("failed")), refusalsText(row.at("refusals"))});
    }
    printTable(out, rows);
    for (const json &overload : outcomes.at("lastOverloads")) {
        const bool ongoing = overload.at("ongoing").get<bool>();
        out << "overload of " << overload.at("service").get<std::string>() << ": " << (ongoing ? "ongoing for " : "lasted ")
            << formatNumber(overload.at("durationSeconds")) << " s, recovery "
            << (ongoing ? "not finished" : "took " + formatNumber(overload.at("recoverySeconds")) + " s");
        if (!ongoing) {
            out << ", ended " << formatNumber(overload.at("endedSecondsAgo")) << " s ago"
                << (overload.at("latencyRecovered").get<bool>() ? "" : ", latency stayed at another level");
        }
        out << "\n";
    }
}

} // namespace wisteriafork
