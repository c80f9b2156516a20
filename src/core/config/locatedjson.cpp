#include "core/config/locatedjson.h"

#include <cstdint>
#include <iterator>
#include <utility>

namespace wisteriafork {

namespace {

constexpr std::size_t MaximumDepth = 32;

// Bound on the total length of all pointers, as a multiple of the text. A long name with many values below it would otherwise take the
// square of the length of the text. Lists of one-digit numbers need about 12.
constexpr std::size_t PointerBytesPerByte = 32;
constexpr std::size_t PointerBytesAtLeast = 65'536;

struct Position
{
    unsigned line = 1;
    char last = '\0';
};

// Iterator over the text that counts the lines passed. The position is shared because the parser copies its iterators.
class CountingIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    CountingIterator(const char *at, Position *position) : m_at(at), m_position(position)
    {
    }

    reference operator*() const
    {
        return *m_at;
    }

    CountingIterator &operator++()
    {
        m_position->last = *m_at;
        m_position->line += *m_at == '\n' ? 1 : 0;
        ++m_at;
        return *this;
    }

    bool operator==(const CountingIterator &other) const
    {
        return m_at == other.m_at;
    }

    bool operator!=(const CountingIterator &other) const
    {
        return m_at != other.m_at;
    }

private:
    const char *m_at;
    Position *m_position;
};

// Builds the document and records the line of each value.
class LocatingHandler : public nlohmann::json_sax<nlohmann::json>
{
public:
    LocatingHandler(const Position &position, std::size_t textBytes, LocatedJson &document, Findings &findings)
        : m_position(position)
        , m_pointerBytesLeft(textBytes * PointerBytesPerByte + PointerBytesAtLeast)
        , m_document(document)
        , m_findings(findings)
    {
    }

    bool null() override
    {
        return add(nullptr);
    }

    bool boolean(bool value) override
    {
        return add(value);
    }

    bool number_integer(number_integer_t value) override
    {
        return add(value);
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value);
    }

    bool number_float(number_float_t value, const string_t &) override
    {
        return add(value);
    }

    bool string(string_t &value) override
    {
        return add(std::move(value));
    }

    bool binary(binary_t &) override
    {
        return false;
    }

    bool start_object(std::size_t) override
    {
        return open(nlohmann::json::object());
    }

    bool start_array(std::size_t) override
    {
        return open(nlohmann::json::array());
    }

    bool end_object() override
    {
        m_open.pop_back();
        return true;
    }

    bool end_array() override
    {
        m_open.pop_back();
        return true;
    }

    bool key(string_t &name) override
    {
        Level &level = m_open.back();
        level.name = name;
        level.nameLine = m_position.line;
        if (level.value->contains(name)) {
            report(childPointer(level.pointer, name), m_position.line, "member name occurs more than once");
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
    struct Level
    {
        nlohmann::json *value = nullptr;
        std::string pointer;
        std::string name;
        unsigned nameLine = 0;
    };

    void report(std::string pointer, unsigned line, std::string message)
    {
        m_findings.push_back({.severity = Severity::Error, .pointer = std::move(pointer), .line = line, .message = std::move(message)});
    }

    // The parser reads one character past a number; if that was a line break, the number is on the line before.
    unsigned currentLine() const
    {
        return m_position.last == '\n' && m_position.line > 1 ? m_position.line - 1 : m_position.line;
    }

    template <typename Value>
    bool add(Value &&value)
    {
        return place(nlohmann::json(std::forward<Value>(value))).first != nullptr;
    }

    bool takePointer(const std::string &pointer)
    {
        if (pointer.size() > m_pointerBytesLeft) {
            report("", currentLine(), "names are too long for the number of values below them");
            return false;
        }
        m_pointerBytesLeft -= pointer.size();
        return true;
    }

    // Adds a value to the innermost open one. Gives the added value and its pointer; null if a bound is reached.
    std::pair<nlohmann::json *, std::string> place(nlohmann::json value)
    {
        if (m_open.empty()) {
            m_document.value = std::move(value);
            m_document.lines.emplace("", currentLine());
            return {&m_document.value, ""};
        }
        Level &level = m_open.back();
        if (level.value->is_array()) {
            std::string pointer = childPointer(level.pointer, level.value->size());
            if (!takePointer(pointer)) {
                return {nullptr, ""};
            }
            m_document.lines.emplace(pointer, currentLine());
            level.value->push_back(std::move(value));
            return {&level.value->back(), std::move(pointer)};
        }
        std::string pointer = childPointer(level.pointer, level.name);
        if (!takePointer(pointer)) {
            return {nullptr, ""};
        }
        m_document.lines.emplace(pointer, level.nameLine);
        nlohmann::json &slot = (*level.value)[level.name];
        slot = std::move(value);
        return {&slot, std::move(pointer)};
    }

    bool open(nlohmann::json value)
    {
        if (m_open.size() >= MaximumDepth) {
            report(m_open.back().pointer, currentLine(), "values are nested deeper than 32 levels");
            return false;
        }
        auto [slot, pointer] = place(std::move(value));
        if (slot == nullptr) {
            return false;
        }
        m_open.push_back({.value = slot, .pointer = std::move(pointer), .name = {}, .nameLine = 0});
        return true;
    }

    const Position &m_position;
    std::size_t m_pointerBytesLeft;
    LocatedJson &m_document;
    Findings &m_findings;
    std::vector<Level> m_open;
};

} // namespace

unsigned LocatedJson::lineOf(std::string_view pointer) const
{
    std::string at(pointer);
    while (true) {
        if (const auto found = lines.find(at); found != lines.end()) {
            return found->second;
        }
        const std::size_t slash = at.rfind('/');
        if (slash == std::string::npos) {
            return 0;
        }
        at.resize(slash);
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
    Position position;
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
