#include "core/config/configurationdiff.h"

#include "core/config/configurationdocument.h"

#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {

using nlohmann::json;

// Converts a list of objects into one object whose member names are the ids, so that elements are matched by id.
json keyById(const json &list)
{
    json result = json::object();
    for (const json &element : list) {
        json content = element;
        std::string id = content["id"].get<std::string>();
        content.erase("id");
        result[std::move(id)] = std::move(content);
    }
    return result;
}

// JSON of a configuration in a form in which the order of services, operations, failure domains and workspaces does not matter.
json normalizedJson(const Configuration &configuration)
{
    json result = json::parse(configurationToJson(configuration), nullptr, false);
    std::sort(result["domains"].begin(), result["domains"].end());
    std::sort(result["workspaces"].begin(), result["workspaces"].end());
    for (json &service : result["services"]) {
        service["operations"] = keyById(service["operations"]);
    }
    result["services"] = keyById(result["services"]);
    return result;
}

// Appends the differences below `place`.
void collectChanges(const json &before, const json &after, const std::string &place, std::vector<ConfigurationChange> &changes)
{
    if (before == after) {
        return;
    }
    if (!before.is_object() || !after.is_object()) {
        changes.push_back({.kind = ChangeKind::Changed, .place = place, .before = before.dump(), .after = after.dump()});
        return;
    }
    std::set<std::string> names;
    for (const json *side : {&before, &after}) {
        for (const auto &[name, value] : side->items()) {
            names.insert(name);
        }
    }
    for (const std::string &name : names) {
        std::string memberPlace = place;
        memberPlace += place.empty() ? "" : "/";
        memberPlace += name;
        if (!before.contains(name)) {
            changes.push_back({.kind = ChangeKind::Added, .place = memberPlace, .before = "", .after = after[name].dump()});
        } else if (!after.contains(name)) {
            changes.push_back({.kind = ChangeKind::Removed, .place = memberPlace, .before = before[name].dump(), .after = ""});
        } else {
            collectChanges(before[name], after[name], memberPlace, changes);
        }
    }
}

std::string_view kindName(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "changed";
}

} // namespace

std::vector<ConfigurationChange> compareConfigurations(const Configuration &before, const Configuration &after)
{
    std::vector<ConfigurationChange> changes;
    collectChanges(normalizedJson(before), normalizedJson(after), "", changes);
    return changes;
}

std::string describeChanges(const std::vector<ConfigurationChange> &changes)
{
    std::string text;
    for (const ConfigurationChange &change : changes) {
        text += std::string(kindName(change.kind)) + " " + change.place;
        if (change.kind == ChangeKind::Changed) {
            text += ": " + change.before + " -> " + change.after;
        } else {
            text += ": " + (change.kind == ChangeKind::Added ? change.after : change.before);
        }
        text += "\n";
    }
    return text;
}

std::string changesToJson(const std::vector<ConfigurationChange> &changes)
{
    json list = json::array();
    for (const ConfigurationChange &change : changes) {
        list.push_back({{"kind", kindName(change.kind)},
                        {"place", change.place},
                        {"before", change.before.empty() ? json() : json::parse(change.before, nullptr, false)},
                        {"after", change.after.empty() ? json() : json::parse(change.after, nullptr, false)}});
    }
    return list.dump();
}

} // namespace wisteriafork
