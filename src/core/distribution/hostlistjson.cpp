#include "core/distribution/hostlistjson.h"

#include <optional>
#include <unordered_set>
#include <utility>

#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {
using Json = nlohmann::json;

std::optional<std::string> textOf(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string() || found->get_ref<const std::string &>().empty()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<std::uint64_t> numberOf(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? std::optional(found->get<std::uint64_t>()) : std::nullopt;
}

std::optional<MemberInfo> parseMember(const Json &object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto name = textOf(object, "name");
    const auto incarnation = numberOf(object, "incarnation");
    const auto service = textOf(object, "service");
    const auto domain = textOf(object, "domain");
    const auto address = textOf(object, "address");
    const auto state = textOf(object, "state");
    if (!name || !incarnation || !service || !domain || !address || !state || (*state != "live" && *state != "leaving")) {
        return std::nullopt;
    }
    return MemberInfo{.name = NodeId(*name),
                      .incarnation = *incarnation,
                      .service = ServiceId(*service),
                      .domain = DomainId(*domain),
                      .peerAddress = *address,
                      .state = *state == "live" ? ListedState::Live : ListedState::Leaving};
}

void readMembers(const Json &document, HostList &list, std::vector<Finding> &findings)
{
    const auto members = document.find("members");
    if (members == document.end() || !members->is_array()) {
        findings.push_back({.pointer = "/members", .message = "the host list needs an array of members"});
        return;
    }
    std::unordered_set<NodeId> names;
    for (std::size_t i = 0; i < members->size(); ++i) {
        const std::string pointer = "/members/" + std::to_string(i);
        std::optional<MemberInfo> member = parseMember((*members)[i]);
        if (!member) {
            findings.push_back({.pointer = pointer,
                                .message = "a member needs name, incarnation, service, domain, address, and state `live` or `leaving`"});
        } else if (member->service != list.service) {
            findings.push_back({.pointer = pointer + "/service", .message = "the member is of another service than the list"});
        } else if (!names.insert(member->name).second) {
            findings.push_back({.pointer = pointer + "/name", .message = "the name is listed twice"});
        } else {
            list.members.push_back(std::move(*member));
        }
    }
}
} // namespace

tl::expected<HostList, std::vector<Finding>> HostListJson::parse(std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    std::vector<Finding> findings;
    if (!document.is_object()) {
        findings.push_back({.pointer = "", .message = "the host list is no JSON object"});
        return tl::unexpected(std::move(findings));
    }
    HostList list;
    list.service = ServiceId(textOf(document, "service").value_or(std::string()));
    list.version = numberOf(document, "version").value_or(0);
    if (list.service.empty()) {
        findings.push_back({.pointer = "/service", .message = "the host list needs the name of its service"});
    }
    if (list.version == 0) {
        findings.push_back({.pointer = "/version", .message = "the host list needs a positive integer `version`"});
    }
    readMembers(document, list, findings);
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    return list;
}

std::string HostListJson::write(const HostList &list)
{
    Json members = Json::array();
    for (const MemberInfo &member : list.members) {
        members.push_back({{"name", member.name.value()},
                           {"incarnation", member.incarnation},
                           {"service", member.service.value()},
                           {"domain", member.domain.value()},
                           {"address", member.peerAddress},
                           {"state", member.state == ListedState::Live ? "live" : "leaving"}});
    }
    return Json{{"service", list.service.value()}, {"version", list.version}, {"members", std::move(members)}}.dump();
}

} // namespace wisteriafork
