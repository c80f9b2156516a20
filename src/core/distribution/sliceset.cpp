#include "core/distribution/sliceset.h"

#include "core/base/hashing.h"
#include "core/distribution/valuekey.h"

#include <algorithm>

namespace wisteriafork {

SliceSet::SliceSet(const DistributionOptions &options, ServiceId own)
    : m_options(options), m_own(std::move(own)), m_required(options.required)
{
    m_required.push_back(m_own);
    std::sort(m_required.begin(), m_required.end());
    m_required.erase(std::unique(m_required.begin(), m_required.end()), m_required.end());
    m_needed = m_required;
}

void SliceSet::require(const ServiceId &service)
{
    const auto place = std::lower_bound(m_required.begin(), m_required.end(), service);
    if (place == m_required.end() || *place != service) {
        m_required.insert(place, service);
    }
}

bool SliceSet::offer(const ServiceId &service, std::string text, const ValueIndex &index)
{
    const IndexEntry *entry = index.find(service);
    const std::uint64_t hash = hash64(text);
    if (entry == nullptr || (hash != entry->hash && m_options.mechanisms.hashCheck)) {
        return false;
    }
    m_slots[service].staged = {.hash = entry->hash, .text = std::make_shared<const std::string>(std::move(text))};
    return true;
}

std::vector<ServiceId> SliceSet::neededFor(const ValueIndex &index) const
{
    std::vector<ServiceId> needed = m_required;
    needed.emplace_back(std::string(CommonSlice));
    const IndexEntry *own = index.find(m_own);
    const Text text = own != nullptr ? find(m_own, own->hash) : nullptr;
    if (own != nullptr && text != nullptr && m_options.slices.calledServices) {
        if (m_called.first != own->hash) {
            m_called = {own->hash, m_options.slices.calledServices(*text)};
        }
        needed.insert(needed.end(), m_called.second.begin(), m_called.second.end());
    }
    std::sort(needed.begin(), needed.end());
    needed.erase(std::unique(needed.begin(), needed.end()), needed.end());
    return needed;
}

std::vector<IndexEntry> SliceSet::missing(const ValueIndex &index) const
{
    std::vector<IndexEntry> missing;
    for (const ServiceId &service : neededFor(index)) {
        const IndexEntry *entry = index.find(service);
        if (entry != nullptr && find(service, entry->hash) == nullptr) {
            missing.push_back(*entry);
        }
    }
    return missing;
}

SliceSet::Promotion SliceSet::promote(const ValueIndex &index)
{
    Promotion promotion;
    if (index.stamp() == m_inForce && m_needed == neededFor(index)) {
        return promotion;
    }
    if (m_options.mechanisms.wholeValues && !missing(index).empty()) {
        return promotion;
    }
    const std::vector<ServiceId> needed = neededFor(index);
    for (const ServiceId &service : needed) {
        const IndexEntry *entry = index.find(service);
        const Text text = entry != nullptr ? find(service, entry->hash) : nullptr;
        if (text == nullptr) {
            continue;
        }
        const std::vector<Finding> &findings = check(service, m_slots[service], {.hash = entry->hash, .text = text});
        const bool invalid
            = std::any_of(findings.begin(), findings.end(), [](const Finding &finding) { return finding.severity == Severity::Error; });
        if (invalid) {
            promotion.invalid.push_back({.service = service, .entry = *entry, .findings = findings});
        }
    }
    if (promotion.invalid.empty()) {
        promotion.changed = switchTo(index, needed);
        promotion.done = true;
    }
    return promotion;
}

const std::vector<Finding> &SliceSet::check(const ServiceId &service, Slot &slot, const Held &held)
{
    if (slot.checkedHash != held.hash || held.hash == 0) {
        slot.checkedHash = held.hash;
        slot.findings.clear();
        if (m_options.slices.validate && m_options.mechanisms.validation) {
            slot.findings = m_options.slices.validate(service, *held.text);
        }
    }
    return slot.findings;
}

bool SliceSet::switchTo(const ValueIndex &index, const std::vector<ServiceId> &needed)
{
    bool changed = m_inForce.version == 0 || needed != m_needed;
    for (const ServiceId &service : needed) {
        const IndexEntry *entry = index.find(service);
        const Text text = entry != nullptr ? find(service, entry->hash) : nullptr;
        Slot &slot = m_slots[service];
        changed = changed || (text == nullptr) != (slot.inForce.text == nullptr) || (text != nullptr && slot.inForce.hash != entry->hash);
        slot.inForce = text != nullptr ? Held{.hash = entry->hash, .text = text} : Held{};
        slot.staged = {};
    }
    std::erase_if(m_slots, [&](const auto &item) { return !std::binary_search(needed.begin(), needed.end(), item.first); });
    m_needed = needed;
    m_inForce = index.stamp();
    return changed;
}

SliceSet::Text SliceSet::find(const ServiceId &service, std::uint64_t hash) const
{
    const auto found = m_slots.find(service);
    if (found == m_slots.end()) {
        return nullptr;
    }
    const Slot &slot = found->second;
    if (slot.staged.text != nullptr && slot.staged.hash == hash) {
        return slot.staged.text;
    }
    return slot.inForce.text != nullptr && slot.inForce.hash == hash ? slot.inForce.text : nullptr;
}

const VersionStamp &SliceSet::inForce() const
{
    return m_inForce;
}

const std::vector<ServiceId> &SliceSet::needed() const
{
    return m_needed;
}

std::vector<std::pair<ServiceId, SliceSet::Text>> SliceSet::slices() const
{
    std::vector<std::pair<ServiceId, Text>> slices;
    for (const auto &[service, slot] : m_slots) {
        if (slot.inForce.text != nullptr) {
            slices.emplace_back(service, slot.inForce.text);
        }
    }
    return slices;
}

} // namespace wisteriafork
