#include "core/config/questionnairereader.h"

#include "core/config/objectreader.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wisteriafork {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t MaximumNameBytes = 63;
constexpr std::size_t MaximumPathBytes = 200;
// Derived from the limit in RFC 1035, section 2.3.4.
constexpr std::size_t MaximumHostNameBytes = 253;
constexpr std::uint64_t MaximumInstances = 100'000;
// Bounds the slots and the connections of one instance.
constexpr std::uint64_t MaximumConcurrency = 1'000'000;
constexpr std::uint64_t MaximumDurationMs = std::uint64_t{10} * 60 * 1000;

constexpr std::array<std::pair<std::string_view, Purpose>, 7> Purposes{{{"booking", Purpose::Booking},
                                                                        {"order", Purpose::Order},
                                                                        {"repair", Purpose::Repair},
                                                                        {"update", Purpose::Update},
                                                                        {"read", Purpose::Read},
                                                                        {"lookup", Purpose::Lookup},
                                                                        {"download", Purpose::Download}}};
constexpr std::array<std::pair<std::string_view, Importance>, 3> Importances{
    {{"low", Importance::Low}, {"normal", Importance::Normal}, {"high", Importance::High}}};

// Reads a required member whose text is the first part of one of the choices, and returns the second part of that choice. Returns the
// fallback if the member cannot be read.
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

// Names are used in keys of the configuration service and as label values of metrics, so only a few characters are allowed.
bool isName(std::string_view text)
{
    const auto isAllowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    };
    return !text.empty() && text.size() <= MaximumNameBytes && text.front() != '-' && std::all_of(text.begin(), text.end(), isAllowed);
}

bool isPath(std::string_view text)
{
    const auto isAllowed = [](char character) {
        return character > ' ' && character < 127 && std::string_view("?#%\"\\<>").find(character) == std::string_view::npos;
    };
    return text.starts_with('/') && text.size() <= MaximumPathBytes && text.find("//") == std::string_view::npos
        && text.find("/.") == std::string_view::npos && std::all_of(text.begin(), text.end(), isAllowed);
}

bool isHostName(std::string_view text)
{
    const auto isAllowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-' || character == '.';
    };
    return !text.empty() && text.size() <= MaximumHostNameBytes && text.front() != '.' && std::all_of(text.begin(), text.end(), isAllowed);
}

// Reads the questionnaire of one document and appends findings.
class QuestionnaireReader
{
public:
    QuestionnaireReader(const LocatedJson &document, Findings &findings) : m_document(document), m_findings(findings)
    {
    }

    Questionnaire read()
    {
        ObjectReader reader(m_document, m_document.value, "", m_findings);
        Questionnaire questionnaire;
        questionnaire.name = readName(reader, "name");
        questionnaire.host = readHost(reader);
        questionnaire.failureDomains = readNames(reader, "failureDomains", true);
        reader.requireNonEmptyList("failureDomains");
        for (std::string &workspace : readNames(reader, "workspaces", false)) {
            questionnaire.workspaces.emplace_back(std::move(workspace));
        }
        reader.forEachElement("services", true, [&](const json &value, const std::string &pointer) {
            questionnaire.services.push_back(readService(value, pointer));
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

    std::string readName(ObjectReader &reader, std::string_view memberName)
    {
        std::string text = reader.text(memberName);
        checkName(text, reader.pointerTo(memberName));
        return text;
    }

    std::vector<std::string> readNames(ObjectReader &reader, std::string_view memberName, bool isRequired)
    {
        std::vector<std::string> values;
        reader.forEachElement(memberName, isRequired, [&](const json &value, const std::string &pointer) {
            if (!value.is_string() || value.get_ref<const std::string &>().empty()) {
                report(pointer, "expected a text that is not empty");
                return;
            }
            checkName(value.get_ref<const std::string &>(), pointer);
            values.push_back(value.get<std::string>());
        });
        return values;
    }

    std::string readPathPrefix(ObjectReader &reader)
    {
        std::string text = reader.text("pathPrefix");
        if (!text.empty() && !isPath(text)) {
            reader.reportError("pathPrefix",
                               "expected a path that begins with \"/\", without query, escapes or empty segments, found \"" + text + "\"");
        }
        return text;
    }

    std::string readHost(ObjectReader &reader)
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

    // Reads a duration in milliseconds. Required if there is no fallback.
    static milliseconds readDuration(ObjectReader &reader, std::string_view memberName, std::uint64_t minimum, std::uint64_t maximum,
                                     std::optional<milliseconds> fallback = {})
    {
        std::optional<std::uint64_t> fallbackMs;
        if (fallback) {
            fallbackMs = static_cast<std::uint64_t>(fallback->count());
        }
        return milliseconds(reader.integer(memberName, minimum, maximum, fallbackMs));
    }

    ServiceAnswers readService(const json &value, const std::string &pointer)
    {
        ObjectReader reader(m_document, value, pointer, m_findings);
        ServiceAnswers service;
        service.pointer = pointer;
        service.id = readName(reader, "id");
        service.pathPrefix = readPathPrefix(reader);
        if (isPath(service.pathPrefix) && !service.pathPrefix.ends_with('/')) {
            reader.reportError("pathPrefix", "the path prefix of a service must end with \"/\"");
        }
        service.instances = static_cast<unsigned>(reader.integer("instances", 1, MaximumInstances));
        service.slots = static_cast<unsigned>(reader.integer("slots", 1, MaximumConcurrency));
        service.connections = static_cast<unsigned>(reader.integer("connections", 1, MaximumConcurrency));
        reader.forEachElement("operations", true, [&](const json &element, const std::string &elementPointer) {
            service.operations.push_back(readOperation(element, elementPointer));
        });
        reader.requireNonEmptyList("operations");
        reader.reportUnknownMembers();
        return service;
    }

    OperationAnswers readOperation(const json &value, const std::string &pointer)
    {
        ObjectReader reader(m_document, value, pointer, m_findings);
        OperationAnswers operation;
        operation.pointer = pointer;
        operation.id = readName(reader, "id");
        operation.method = reader.choice("method", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"});
        operation.pathPrefix = readPathPrefix(reader);
        operation.purpose = readChoice(reader, "purpose", Purposes, Purpose::Read);
        operation.importance = readChoice(reader, "importance", Importances, Importance::Normal);
        operation.idempotent = reader.boolean("idempotent");
        operation.callersWait = readDuration(reader, "callersWaitMs", 1, MaximumDurationMs);
        operation.targetLatency = readDuration(reader, "targetLatencyMs", 1, MaximumDurationMs, operation.callersWait);
        operation.calls = readNames(reader, "calls", false);
        reader.reportUnknownMembers();
        return operation;
    }

    const LocatedJson &m_document;
    Findings &m_findings;
};

} // namespace

Questionnaire readQuestionnaire(const LocatedJson &document, Findings &findings)
{
    return QuestionnaireReader(document, findings).read();
}

} // namespace wisteriafork
