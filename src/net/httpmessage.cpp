#include "net/httpmessage.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace wisteriafork {

namespace {

// Fields that apply to one connection, also if `Connection` does not name them.
constexpr std::array<std::string_view, 8> ConnectionFields{
    "connection", "keep-alive", "transfer-encoding", "content-length", "te", "trailer", "upgrade", "expect",
};

bool isConnectionField(std::string_view name)
{
    return std::ranges::find(ConnectionFields, name) != ConnectionFields.end() || name.starts_with("proxy-");
}

// Names of fields that the `Connection` fields list, in lower case.
std::vector<std::string> fieldsListedInConnection(const std::vector<HttpHeaders::Field> &fields)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : fields) {
        if (name != "connection") {
            continue;
        }
        std::string current;
        for (const char c : value + ",") {
            if (c == ',') {
                names.push_back(std::exchange(current, {}));
            } else if (c != ' ' && c != '\t') {
                current.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
            }
        }
    }
    return names;
}

} // namespace

void HttpHeaders::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

std::string_view HttpHeaders::find(std::string_view name) const
{
    const auto found = std::ranges::find(m_fields, name, &Field::first);
    return found == m_fields.end() ? std::string_view() : std::string_view(found->second);
}

bool HttpHeaders::contains(std::string_view name) const
{
    return std::ranges::find(m_fields, name, &Field::first) != m_fields.end();
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(m_fields, [name](const Field &field) { return field.first == name; });
}

void HttpHeaders::removeConnectionFields()
{
    const std::vector<std::string> listedNames = fieldsListedInConnection(m_fields);
    std::erase_if(m_fields, [&listedNames](const Field &field) {
        return isConnectionField(field.first) || std::ranges::find(listedNames, field.first) != listedNames.end();
    });
}

} // namespace wisteriafork
