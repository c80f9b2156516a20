#include "admin/adminsettings.h"

#include "core/config/objectreader.h"

#include <set>
#include <utility>

namespace wisteriafork {

namespace {

using nlohmann::json;

// The file name in a member; a relative one is prefixed with the directory. Empty if the member is missing.
std::string readFileName(ObjectReader &reader, std::string_view name, const std::string &directory)
{
    const std::string file = reader.text(name);
    return file.empty() || file.starts_with('/') || directory.empty() ? file : directory + "/" + file;
}

AccessToken readToken(const LocatedJson &document, const json &value, const std::string &pointer, Findings &findings)
{
    ObjectReader reader(document, value, pointer, findings);
    AccessToken token;
    token.name = reader.text("name");
    token.secret = reader.text("secret");
    if (!token.secret.empty() && token.secret.size() < MinimumSecretCharacters) {
        reader.reportError("secret", "needs at least " + std::to_string(MinimumSecretCharacters) + " characters");
    }
    token.right = reader.choice("right", {"reader", "operator"}) == "operator" ? AccessRight::Operator : AccessRight::Reader;
    for (std::string &workspace : reader.texts("workspaces", false)) {
        token.workspaces.emplace_back(std::move(workspace));
    }
    // Refuses an empty list, because an empty `AccessToken::workspaces` means all workspaces, which is hardly intended.
    reader.requireNonEmptyList("workspaces");
    reader.reportUnknownMembers();
    return token;
}

void readTls(const LocatedJson &document, ObjectReader &section, const std::string &directory, AdminTls &tls, Findings &findings)
{
    const json *value = section.member("tls");
    if (value == nullptr) {
        return;
    }
    ObjectReader reader(document, *value, section.pointerTo("tls"), findings);
    tls.certificateFile = readFileName(reader, "certificate", directory);
    tls.keyFile = readFileName(reader, "key", directory);
    reader.reportUnknownMembers();
}

} // namespace

AdminOptions readAdminOptions(const LocatedJson &document, const json &value, const std::string &pointer, const std::string &directory,
                              Findings &findings)
{
    ObjectReader reader(document, value, pointer, findings);
    AdminOptions options;
    if (reader.has("address")) {
        options.address = reader.text("address");
    }
    options.port = static_cast<std::uint16_t>(reader.integer("port", 1, 65535, DefaultAdminPort));
    options.allowRemote = reader.has("allowRemote") && reader.boolean("allowRemote");
    readTls(document, reader, directory, options.tls, findings);
    std::set<std::string> names;
    reader.forEachElement("tokens", true, [&](const json &element, const std::string &elementPointer) {
        options.tokens.push_back(readToken(document, element, elementPointer, findings));
        if (!names.insert(options.tokens.back().name).second) {
            addFinding(findings, document, Severity::Error, elementPointer, "the name of the token occurs more than once");
        }
    });
    reader.requireNonEmptyList("tokens");
    reader.reportUnknownMembers();
    return options;
}

} // namespace wisteriafork
