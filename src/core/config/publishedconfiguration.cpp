#include "core/config/publishedconfiguration.h"

#include "core/config/objectreader.h"
#include "core/config/slices.h"

#include <utility>

namespace wisteriafork {

namespace {

using nlohmann::json;

// 890 services with one slice of at most 1 MB each would be larger, but a real slice has a few kilobytes.
constexpr std::size_t MaximumDocumentBytes = 256'000'000;

void addSlice(PublishedConfiguration &published, const std::string &name, std::string text, const PublishedConfiguration *previous)
{
    SliceEntry entry{.version = published.index.version, .hash = sliceHash(text)};
    if (previous != nullptr) {
        const auto found = previous->index.slices.find(name);
        if (found != previous->index.slices.end() && found->second.hash == entry.hash) {
            entry.version = found->second.version;
        }
    }
    published.index.slices.emplace(name, std::move(entry));
    published.slices.emplace(name, std::move(text));
}

void addError(Findings &findings, std::string pointer, std::string message)
{
    findings.push_back({.severity = Severity::Error, .pointer = std::move(pointer), .line = 0, .message = std::move(message)});
}

// Adds the findings of a slice with their place in the whole document. Lines are dropped because they count within the slice.
void addSliceFindings(Findings &findings, const std::string &slicePointer, const Findings &sliceFindings)
{
    for (const Finding &finding : sliceFindings) {
        addError(findings, slicePointer + finding.pointer, finding.message);
    }
}

// Text of a slice that is present and matches its hash; null otherwise.
const std::string *intactSlice(const PublishedConfiguration &published, const std::string &name, const SliceEntry &entry,
                               Findings &findings)
{
    const std::string pointer = childPointer("/slices", name);
    const auto slice = published.slices.find(name);
    if (slice == published.slices.end()) {
        addError(findings, pointer, "slice is missing");
        return nullptr;
    }
    const std::string actual = sliceHash(slice->second);
    if (actual != entry.hash) {
        addError(findings, pointer, "content has the hash " + actual + ", the index says " + entry.hash);
        return nullptr;
    }
    return &slice->second;
}

} // namespace

PublishedConfiguration publishConfiguration(const Configuration &configuration, const PublishedConfiguration *previous)
{
    PublishedConfiguration published;
    published.index.version = configuration.version;
    addSlice(published, std::string(CommonSliceName), printCommonSlice(commonSlice(configuration)), previous);
    for (const ServiceConfiguration &service : configuration.services) {
        addSlice(published, service.id.value(), printServiceSlice(service), previous);
    }
    return published;
}

std::map<std::string, std::string> platformValues(const PublishedConfiguration &published)
{
    std::map<std::string, std::string> values;
    values.emplace(IndexKey, printIndex(published.index));
    for (const auto &[name, text] : published.slices) {
        values.emplace(sliceKey(name), text);
    }
    return values;
}

std::string printPublished(const PublishedConfiguration &published)
{
    json slices = json::object();
    for (const auto &[name, text] : published.slices) {
        slices[name] = json::parse(text, nullptr, false);
    }
    const json document = {{"index", json::parse(printIndex(published.index), nullptr, false)}, {"slices", std::move(slices)}};
    return document.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

Checked<PublishedConfiguration> parsePublished(std::string_view text)
{
    const Checked<LocatedJson> document = parseLocatedJson(text, MaximumDocumentBytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    Findings findings;
    ObjectReader reader(*document, document->value, "", findings);
    PublishedConfiguration published;
    if (const json *index = reader.member("index"); index != nullptr) {
        Checked<ConfigurationIndex> parsed = parseIndex(index->dump());
        if (parsed) {
            published.index = *std::move(parsed);
        } else {
            addSliceFindings(findings, "/index", parsed.error());
        }
    } else {
        reader.error("index", "member \"index\" is missing");
    }
    if (const json *slices = reader.member("slices"); slices != nullptr && slices->is_object()) {
        for (const auto &[name, value] : slices->items()) {
            published.slices.emplace(name, value.dump());
        }
    } else {
        reader.error("slices", "expected an object with one member per slice");
    }
    reader.reportUnknownMembers();
    for (const auto &[name, entry] : published.index.slices) {
        intactSlice(published, name, entry, findings);
    }
    for (const auto &[name, slice] : published.slices) {
        if (!published.index.slices.contains(name)) {
            addError(findings, childPointer("/slices", name), "slice is not in the index");
        }
    }
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    return published;
}

Checked<Configuration> readPublished(const PublishedConfiguration &published)
{
    Findings findings;
    CommonSlice common;
    std::vector<ServiceConfiguration> services;
    for (const auto &[name, entry] : published.index.slices) {
        const std::string *text = intactSlice(published, name, entry, findings);
        if (text == nullptr) {
            continue;
        }
        const std::string pointer = childPointer("/slices", name);
        if (name == CommonSliceName) {
            Checked<CommonSlice> parsed = parseCommonSlice(*text);
            if (parsed) {
                common = *std::move(parsed);
            } else {
                addSliceFindings(findings, pointer, parsed.error());
            }
            continue;
        }
        Checked<ServiceConfiguration> parsed = parseServiceSlice(*text);
        if (!parsed) {
            addSliceFindings(findings, pointer, parsed.error());
        } else if (parsed->id.value() != name) {
            addError(findings, pointer, "slice holds the service \"" + parsed->id.value() + "\"");
        } else {
            services.push_back(*std::move(parsed));
        }
    }
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    return assembleConfiguration(published.index.version, common, std::move(services));
}

} // namespace wisteriafork
