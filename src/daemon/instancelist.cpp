#include "daemon/instancelist.h"

#include "core/config/objectreader.h"
#include "net/endpoint.h"

#include <set>

namespace wisteriafork {

namespace {

// Bounds the size of the document. 28,000 instances of 200 bytes each need a third of it.
constexpr std::size_t MaxListBytes = std::size_t{16} * 1024 * 1024;
constexpr std::uint64_t MaxSlots = 1'000'000;

std::string readAddress(ObjectReader &reader, std::string_view name)
{
    std::string text = reader.text(name);
    if (!text.empty() && !parseEndpoint(text)) {
        reader.reportError(name, "expected an IP address with a port, found \"" + text + "\"");
    }
    return text;
}

Instance readInstance(ObjectReader &reader)
{
    Instance instance;
    instance.id = reader.text("id");
    instance.service = ServiceId(reader.text("service"));
    instance.address = readAddress(reader, "server");
    instance.peerAddress = readAddress(reader, "peers");
    instance.domain = DomainId(reader.text("domain"));
    instance.slots = static_cast<unsigned>(reader.integer("slots", 1, MaxSlots));
    if (reader.has("draining")) {
        instance.draining = reader.boolean("draining");
    }
    reader.reportUnknownMembers();
    return instance;
}

} // namespace

ValueOrFindings<std::vector<Instance>> parseInstanceList(std::string_view text)
{
    const ValueOrFindings<LocatedJson> document = parseLocatedJson(text, MaxListBytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    Findings findings;
    std::vector<Instance> instances;
    std::set<std::string> ids;
    ObjectReader root(*document, document->value, "", findings);
    root.forEachElement("instances", true, [&](const nlohmann::json &value, const std::string &pointer) {
        ObjectReader reader(*document, value, pointer, findings);
        Instance instance = readInstance(reader);
        instance.listRevision = instances.size() + 1;
        if (!ids.insert(instance.id).second) {
            reader.reportError("id", "\"" + instance.id + "\" occurs more than once");
        }
        instances.push_back(std::move(instance));
    });
    root.reportUnknownMembers();
    if (hasErrors(findings)) {
        sortFindings(findings);
        return tl::unexpected(std::move(findings));
    }
    return instances;
}

} // namespace wisteriafork
