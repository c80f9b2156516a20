#include "core/config/locatedjson.h"

#include <cstdint>
#include <iterator>
#include <utility>

namespace wisteriafork {

namespace {

// Nesting levels of objects and lists.
constexpr std::size_t MaximumDepth = 32;

// Bounds the total length of all JSON pointers to a multiple of the text length. Without the bound, a long member name with many values
// below it would need memory proportional to the square of the text length. Lists of one-digit numbers need about 12 bytes per byte of
// text.
constexpr std::size_t PointerBytesPerTextByte = 32;
// Added to the bound for the sake of short texts.
constexpr std::size_t BasePointerBytes = 65'536;

// Position of the parser in the text.
struct TextPosition
{
    // Line of the next character.
    unsigned line = 1;
    // The character that was read last.
    char lastCharacter = '\0';
};

// Input iterator over the text that counts lines. All copies share one position, because the parser copies its iterators.
class CountingIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    CountingIterator(const char *current, TextPosition *position) : m_current(current), m_position(position)
    {
    }

    reference operator*() const
    {
        return *m_current;
    }

    CountingIterator &operator++()
    {
        m_position->lastCharacter = *m_current;
        m_position->line += *m_current == '\n' ? 1 : 0;
        ++m_current;
        return *this;
    }

    bool operator==(const CountingIterator &other) const
    {
        return m_current == other.m_current;
    }

    bool operator!=(const CountingIterator &other) const
    {
        return m_current != other.m_current;
    }

private:
    const char *m_current;
    TextPosition *m_position;
};

// Event handler of the JSON parser that builds the document and records the line of each value.
class LocatingHandler : public nlohmann::json_sax<nlohmann::json>
{
public:
    LocatingHandler(const TextPosition &position, std::size_t textBytes, LocatedJson &document, Findings &findings)
        : m_position(position)
        , m_pointerBytesLeft(textBytes * PointerBytesPerTextByte + BasePointerBytes)
        , m_document(document)
        , m_findings(findings)
    {
    }

    bool null() override
    {
        return addScalar(nullptr);
    }

    bool boolean(bool value) override
    {
        return addScalar(value);
    }

    bool number_integer(number_integer_t value) override
    {
        return addScalar(value);
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return addScalar(value);
    }

    bool number_float(number_float_t value, const string_t &) override
    {
        return addScalar(value);
    }

    bool string(string_t &value) override
    {
        return addScalar(std::move(value));
    }

    bool binary(binary_t &) override
    {
        return false;
    }

    bool start_object(std::size_t) override
    {
        return openContainer(nlohmann::json::object());
    }

    bool start_array(std::size_t) override
    {
        return openContainer(nlohmann::json::array());
    }

    bool end_object() override
    {
        m_openContainers.pop_back();
        return true;
    }

    bool end_array() override
    {
        m_openContainers.pop_back();
        return true;
    }

    bool key(string_t &name) override
    {
        OpenContainer &container = m_openContainers.back();
        container.memberName = name;
        container.memberNameLine = m_position.line;
        if (container.value->contains(name)) {
            report(childPointer(container.pointer, name), m_position.line, "member name occurs more than once");
        }
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const nlohmann::json::exception &error) override
    {
        const std::string text = error.what();
        const std::size_t details = text.find(": ");
        report("", currentLine(), "not valid JSON: " + (details == std::string::npos ? text : text.substr(details + 2)));
        return false;
    }

private:
    // An object or list whose end has not been read yet.
    struct OpenContainer
    {
        nlohmann::json *value = nullptr;
        std::string pointer;
        // The member name that was read last and its line; unused in a list.
        std::string memberName;
        unsigned memberNameLine = 0;
    };

    void report(std::string pointer, unsigned line, std::string message)
    {
        m_findings.push_back({.severity = Severity::Error, .pointer = std::move(pointer), .line = line, .message = std::move(message)});
    }

    // Line of the value that was read last. The parser reads one character past a number; if that is a line break, the number is on the
    // previous line.
    unsigned currentLine() const
    {
        return m_position.lastCharacter == '\n' && m_position.line > 1 ? m_position.line - 1 : m_position.line;
    }

    template <typename Value>
    bool addScalar(Value &&value)
    {
        return insertValue(nlohmann::json(std::forward<Value>(value))).first != nullptr;
    }

    // Counts a pointer against the bound on pointer bytes. Reports an error and returns false if the bound is exceeded.
    bool reservePointerBytes(const std::string &pointer)
    {
        if (pointer.size() > m_pointerBytesLeft) {
            report("", currentLine(), "names are too long for the number of values below them");
            return false;
        }
        m_pointerBytesLeft -= pointer.size();
        return true;
    }

    // Adds a value to the innermost open container, or makes it the document. Returns the added value and its JSON pointer; null
    // if the bound on pointer bytes is exceeded.
    std::pair<nlohmann::json *, std::string> insertValue(nlohmann::json value)
    {
        if (m_openContainers.empty()) {
            m_document.value = std::move(value);
            m_document.lines.emplace("", currentLine());
            return {&m_document.value, ""};
        }
        OpenContainer &container = m_openContainers.back();
        if (container.value->is_array()) {
            std::string pointer = childPointer(container.pointer, container.value->size());
            if (!reservePointerBytes(pointer)) {
                return {nullptr, ""};
            }
            m_document.lines.emplace(pointer, currentLine());
            container.value->push_back(std::move(value));
            return {&container.value->back(), std::move(pointer)};
        }
        std::string pointer = childPointer(container.pointer, container.memberName);
        if (!reservePointerBytes(pointer)) {
            return {nullptr, ""};
        }
        m_document.lines.emplace(pointer, container.memberNameLine);
        nlohmann::json &insertedValue = (*container.value)[container.memberName];
        insertedValue = std::move(value);
        return {&insertedValue, std::move(pointer)};
    }

    // Adds an empty object or list that receives the following values. Returns false if it is nested too deep or cannot be added.
    bool openContainer(nlohmann::json value)
    {
        if (m_openContainers.size() >= MaximumDepth) {
            report(m_openContainers.back().pointer, currentLine(), "values are nested deeper than 32 levels");
            return false;
        }
        auto [insertedValue, pointer] = insertValue(std::move(value));
        if (insertedValue == nullptr) {
            return false;
        }
        m_openContainers.push_back({.value = insertedValue, .pointer = std::move(pointer), .memberName = {}, .memberNameLine = 0});
        return true;
    }

    const TextPosition &m_position;
    std::size_t m_pointerBytesLeft;
    LocatedJson &m_document;
    Findings &m_findings;
    std::vector<OpenContainer> m_openContainers;
};

} // namespace

unsigned LocatedJson::lineOf(std::string_view pointer) const
{
    std::string ancestor(pointer);
    while (true) {
        if (const auto found = lines.find(ancestor); found != lines.end()) {
            return found->second;
        }
        const std::size_t slash = ancestor.rfind('/');
        if (slash == std::string::npos) {
            return 0;
        }
        ancestor.resize(slash);
    }
}

ValueOrFindings<LocatedJson> parseLocatedJson(std::string_view text, std::size_t maximumBytes)
{
    Findings findings;
    if (text.size() > maximumBytes) {
        findings.push_back(
            {.severity = Severity::Error,
             .pointer = "",
             .line = 0,
             .message = "text has " + std::to_string(text.size()) + " bytes, at most " + std::to_string(maximumBytes) + " are allowed"});
        return tl::unexpected(std::move(findings));
    }
    TextPosition position;
    LocatedJson document;
    LocatingHandler handler(position, text.size(), document, findings);
    const CountingIterator first(text.data(), &position);
    const CountingIterator last(text.data() + text.size(), &position);
    const bool complete = nlohmann::json::sax_parse(first, last, &handler);
    if (!complete && findings.empty()) {
        findings.push_back({.severity = Severity::Error, .pointer = "", .line = position.line, .message = "not valid JSON"});
    }
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    return document;
}

std::string childPointer(std::string_view pointer, std::string_view name)
{
    std::string result(pointer);
    result += '/';
    for (const char character : name) {
        if (character == '~') {
            result += "~0";
        } else if (character == '/') {
            result += "~1";
        } else {
            result += character;
        }
    }
    return result;
}

std::string childPointer(std::string_view pointer, std::size_t index)
{
    return childPointer(pointer, std::to_string(index));
}

} // namespace wisteriafork
