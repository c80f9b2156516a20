#include "observability/eventlog.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "sourcefolder.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

std::vector<std::string> splitCells(const std::string &line)
{
    std::vector<std::string> cells;
    std::istringstream input(line.substr(1));
    std::string cell;
    while (std::getline(input, cell, '|')) {
        const std::size_t first = cell.find_first_not_of(' ');
        cells.push_back(first == std::string::npos ? "" : cell.substr(first, cell.find_last_not_of(' ') - first + 1));
    }
    return cells;
}

// Rows of the table in docs/events.md by number: name, severity, fields.
std::map<std::string, std::string> documentedEvents()
{
    const auto path = sourceFolder() / "docs/events.md";
    std::ifstream file(path);
    std::map<std::string, std::string> events;
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("| ") && std::isdigit(static_cast<unsigned char>(line[2])) != 0) {
            const auto cells = splitCells(line);
            CHECK_TEXT(cells.size() >= 5 && !cells[4].empty(), line.c_str());
            CHECK_TEXT(events.emplace(cells[0], cells[1] + " / " + cells[2] + " / " + cells[3]).second, line.c_str());
        }
    }
    return events;
}

std::string joinNames(std::span<const std::string_view> names)
{
    std::string text;
    for (const std::string_view name : names) {
        text += (text.empty() ? "" : ", ") + std::string(name);
    }
    return text;
}

void writeFromFourThreads(int lines, bool background, std::ostream &output)
{
    EventLog log({.background = background}, output);
    std::array<std::thread, 4> workers;
    for (std::thread &worker : workers) {
        worker = std::thread([&log, lines] {
            for (int count = 0; count < lines; ++count) {
                log.write(EventNumber::SourceLost, {"1"});
            }
        });
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
}

} // namespace

TEST_GROUP(EventLog)
{
    std::ostringstream m_output;

    std::vector<std::string> lines() const
    {
        std::vector<std::string> result;
        std::istringstream input(m_output.str());
        for (std::string line; std::getline(input, line);) {
            result.push_back(line);
        }
        return result;
    }
};

// Guards against events that differ from the table in docs/events.md, in both directions.
TEST(EventLog, matchesTheDocumentedCatalogue)
{
    const auto documented = documentedEvents();
    std::map<std::string, std::string> inCode;
    for (const EventDescription &event : eventCatalogue()) {
        inCode.emplace(std::to_string(static_cast<unsigned>(event.number)),
                       std::string(event.name) + " / " + std::string(logSeverityName(event.severity)) + " / " + joinNames(event.fields));
        CHECK(&describeEvent(event.number) == &event);
    }

    LONGS_EQUAL(eventCatalogue().size(), inCode.size());
    for (const auto &[number, row] : inCode) {
        CHECK_TEXT(documented.contains(number), ("not in docs/events.md: " + number).c_str());
        STRCMP_EQUAL(row.c_str(), documented.at(number).c_str());
    }
    for (const auto &[number, row] : documented) {
        CHECK_TEXT(inCode.contains(number), ("not in the code: " + number).c_str());
    }
}

// Guards against warnings and errors without an entry for the operator in docs/OPERATIONS.md.
TEST(EventLog, explainsEachAlarmToOperators)
{
    std::ifstream file(sourceFolder() / "docs/OPERATIONS.md");
    const std::string page{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    for (const EventDescription &event : eventCatalogue()) {
        if (event.severity >= LogSeverity::Warning) {
            const std::string row = "| " + std::to_string(static_cast<unsigned>(event.number)) + " " + std::string(event.name) + " |";
            CHECK_TEXT(page.find(row) != std::string::npos, ("not in docs/OPERATIONS.md: " + row).c_str());
        }
    }
}

// Guards against an event without its number and name, and against text of a caller that breaks the line or the JSON.
TEST(EventLog, writesOneJsonLinePerEvent)
{
    EventLog log({}, m_output);

    log.write(EventNumber::RelayMoved, {"r-1\"\n\xff", "shelves/book", "registar-osijek-1", "overloaded", "3"});

    LONGS_EQUAL(1, lines().size());
    const auto line = nlohmann::json::parse(lines()[0]);
    LONGS_EQUAL(1001, line["event"].get<int>());
    STRCMP_EQUAL("relay-moved", line["name"].get<std::string>().c_str());
    STRCMP_EQUAL("registar-osijek-1", line["instance"].get<std::string>().c_str());
    LONGS_EQUAL(24, line["time"].get<std::string>().size());
}

// Guards against two logs of one process that write to each other's stream, and against lines below the minimum severity.
TEST(EventLog, keepsLogsApartAndDropsLowSeverities)
{
    std::ostringstream otherOutput;
    EventLog log({.format = LogFormat::KeyValue, .minimumSeverity = LogSeverity::Warning}, m_output);
    {
        EventLog other({}, otherOutput);
        other.write(EventNumber::OlderConfigurationIgnored, {"1", "2"});
    }
    log.write(EventNumber::DrainStarted, {"planned"});
    log.write(EventNumber::SourceLost, {"timeout"});
    log.write(EventNumber::OlderConfigurationIgnored, {"has space"});

    LONGS_EQUAL(2, lines().size());
    STRCMP_CONTAINS("event=1006 name=source-lost severity=warning reason=timeout", lines()[0].c_str());
    STRCMP_CONTAINS("version=\"has space\" fieldCountMismatch=1", lines()[1].c_str());
    const std::string other = otherOutput.str();
    STRCMP_CONTAINS("\"event\":304,", other.c_str());
    STRCMP_CONTAINS("\"inForce\":\"2\"", other.c_str());
    LONGS_EQUAL(other.size() - 1, other.find('\n'));
}

// Guards against lines of several threads that are mixed, and against queued lines that are lost when the log is destroyed.
TEST(EventLog, keepsLinesOfSeveralThreadsWhole)
{
    constexpr int count = 200;
    for (const bool background : {false, true}) {
        m_output.str("");
        writeFromFourThreads(count, background, m_output);
        LONGS_EQUAL(4 * count, lines().size());
        for (const std::string &line : lines()) {
            CHECK(nlohmann::json::accept(line));
        }
    }
}
