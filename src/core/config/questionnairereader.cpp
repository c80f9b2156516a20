#include "core/config/questionnairereader.h"

#include "core/config/objectreader.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wisteriafork {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t LongestName = 63;
constexpr std::size_t LongestPath = 200;
// RFC 1035, 2.3.4.
constexpr std::size_t LongestHostName = 253;
constexpr std::uint64_t MostInstances = 100'000;
constexpr std::uint64_t MostSlots = 1'000'000;
constexpr std::uint64_t LongestWaitMs = std::uint64_t{10} * 60 * 1000;

constexpr std::array<std::pair<std::string_view, Purpose>, 7> Purposes{{{"booking", Purpose::Booking},
                                                                        {"order", Purpose::Order},
                                                                        {"repair", Purpose::Repair},
                                                                        {"update", Purpose::Update},
                                                                        {"read", Purpose::Read},
                                                                        {"lookup", Purpose::Lookup},
                                                                        {"download", Purpose::Download}}};
constexpr std::array<std::pair<std::string_view, Importance>, 3> Importances{
    {{"low", Importance::Low}, {"normal", Importance::Normal}, {"high", Importance::High}}};

template <typename Value, std::size_t count>
Value readChoice(ObjectReader &reader, std::string_view name, const std::array<std::pair<std::string_view, Value>, count> &choices,
                 Value fallback)
{
    std::vector<std::string_view> names;
    names.reserve(count);
    for (const auto &choice : choices) {
        names.push_back(choice.first);
    }
    const std::string text = reader.choice(name, names);
    for (const auto &choice : choices) {
        if (choice.first == text) {
            return choice.second;
        }
    }
    return fallback;
}

// Names become keys of the configuration service and label values, so their form is narrow.
bool isName(std::string_view text)
{
    const auto isAllowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    };
    return !text.empty() && text.size() <= LongestName && text.front() != '-' && std::all_of(text.begin(), text.end(), isAllowed);
}

bool isPath(std::string_view text)
{
    const auto isAllowed = [](char character) {
        return character > ' ' && character < 127 && std::string_view("?#%\"\\<>").find(character) == std::string_view::npos;
    };
    return text.starts_with('/') && text.size() <= LongestPath && text.find("//") == std::string_view::npos
        && text.find("/.") == std::string_view::npos && std::all_of(text.begin(), text.end(), isAllowed);
}

bool isHostName(std::string_view text)
{
    const auto isAllowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-' || character == '.';
    };
    return !text.empty() && text.size() <= LongestHostName && text.front() != '.' && std::all_of(text.begin(), text.end(), isAllowed);
}

// Reads one document; keeps what all functions need.
class Reader
{
public:
    Reader(const LocatedJson &document, Findings &findings) : m_document(document), m_findings(findings)
    {
    }

    Questionnaire read()
    {
        ObjectReader reader(m_document, m_document.value, "", m_findings);
        Questionnaire questionnaire;
        questionnaire.name = name(reader, "name");
        questionnaire.host = host(reader);
        questionnaire.failureDomains = names(reader, "failureDomains", true);
        reader.requireNonEmptyList("failureDomains");
        for (std::string &workspace : names(reader, "workspaces", false)) {
            questionnaire.workspaces.emplace_back(std::move(workspace));
        }
        reader.forEachElement("services", true, [&](const json &value, const std::string &pointer) {
            questionnaire.services.push_back(service(value, pointer));
        });
        reader.requireNonEmptyList("services");
        reader.reportUnknownMembers();
        return questionnaire;
    }

private:
    void report(std::string pointer, std::string message)
    {
        addFinding(m_findings, m_document, Severity::Error, std::move(pointer), std::move(message));
    }

    void checkName(const std::string &text, std::string pointer)
    {
        if (!text.empty() && !isName(text)) {
            report(std::move(pointer), "expected up to 63 lower-case letters, digits and hyphens, found \"" + text + "\"");
        }
    }

    std::string name(ObjectReader &reader, std::string_view member)
    {
        std::string text = reader.text(member);
        checkName(text, reader.pointerTo(member));
        return text;
    }

    std::vector<std::string> names(ObjectReader &reader, std::string_view member, bool required)
    {
        std::vector<std::string> values;
        reader.forEachElement(member, required, [&](const json &value, const std::string &pointer) {
            if (!value.is_string() || value.get_ref<const std::string &>().empty()) {
                report(pointer, "expected a text that is not empty");
                return;
            }
            checkName(value.get_ref<const std::string &>(), pointer);
            values.push_back(value.get<std::string>());
        });
        return values;
    }

    std::string path(ObjectReader &reader)
    {
        std::string text = reader.text("pathPrefix");
        if (!text.empty() && !isPath(text)) {
            reader.reportError("pathPrefix",
                               "expected a path that begins with \"/\", without query, escapes or empty segments, found \"" + text + "\"");
        }
        return text;
    }

    std::string host(ObjectReader &reader)
    {
        if (!reader.has("host")) {
            return {};
        }
        std::string text = reader.text("host");
        if (!text.empty() && !isHostName(text)) {
            reader.reportError("host", "expected a host name in lower case without port, found \"" + text + "\"");
        }
        return text;
    }

    static milliseconds time(ObjectReader &reader, std::string_view member, std::uint64_t least, std::uint64_t greatest,
                             std::optional<milliseconds> fallback = {})
    {
        std::optional<std::uint64_t> count;
        if (fallback) {
            count = static_cast<std::uint64_t>(fallback->count());
        }
        return milliseconds(reader.integer(member, least, greatest, count));
    }

    ServiceAnswers service(const json &value, const std::string &pointer)
    {
        ObjectReader reader(m_document, value, pointer, m_findings);
        ServiceAnswers service;
        service.pointer = pointer;
        service.id = name(reader, "id");
        service.pathPrefix = path(reader);
        if (isPath(service.pathPrefix) && !service.pathPrefix.ends_with('/')) {
            reader.reportError("pathPrefix", "the path prefix of a service must end with \"/\"");
        }
        service.instances = static_cast<unsigned>(reader.integer("instances", 1, MostInstances));
        service.slots = static_cast<unsigned>(reader.integer("slots", 1, MostSlots));
        service.connections = static_cast<unsigned>(reader.integer("connections", 1, MostSlots));
        reader.forEachElement("operations", true, [&](const json &element, const std::string &elementPointer) {
            service.operations.push_back(operation(element, elementPointer));
        });
        reader.requireNonEmptyList("operations");
        reader.reportUnknownMembers();
        return service;
    }

    OperationAnswers operation(const json &value, const std::string &pointer)
    {
        ObjectReader reader(m_document, value, pointer, m_findings);
        OperationAnswers operation;
        operation.pointer = pointer;
        operation.id = name(reader, "id");
        operation.method = reader.choice("method", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"});
        operation.pathPrefix = path(reader);
        operation.purpose = readChoice(reader, "purpose", Purposes, Purpose::Read);
        operation.importance = readChoice(reader, "importance", Importances, Importance::Normal);
        operation.idempotent = reader.boolean("idempotent");
        operation.callersWait = time(reader, "callersWaitMs", 1, LongestWaitMs);
        operation.targetLatency = time(reader, "targetLatencyMs", 1, LongestWaitMs, operation.callersWait);
        operation.calls = names(reader, "calls", false);
        reader.reportUnknownMembers();
        return operation;
    }

    const LocatedJson &m_document;
    Findings &m_findings;
};

} // namespace

Questionnaire readQuestionnaire(const LocatedJson &document, Findings &findings)
{
    return Reader(document, findings).read();
}

} // namespace wisteriafork
