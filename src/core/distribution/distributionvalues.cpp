#include "core/distribution/distributionprivate.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <utility>

// Slices and host lists: what arrives, what is missing, and what comes in force.

namespace wisteriafork {

namespace {
constexpr std::size_t MaxHeldBack = 32;
} // namespace

void Distribution::Private::valueArrived(const ValueKey &key, const IndexEntry &entry, std::string text, bool fromService)
{
    const bool taken = key.family == ValueFamily::Configuration ? sliceArrived(key, std::move(text)) : hostListArrived(key, entry, text);
    if (taken) {
        answerWaiters(key);
        advance();
        return;
    }
    if (fromService) {
        fetcher.noteServiceMiss(key, clock.now());
    } else {
        fetcher.noteMiss(key, clock.now());
    }
}

const ValueIndex &Distribution::Private::target() const
{
    return fallback ? *fallback : families.at(0).index;
}

bool Distribution::Private::sliceArrived(const ValueKey &key, std::string text)
{
    return slices.offer(key.service, std::move(text), target());
}

bool Distribution::Private::hostListArrived(const ValueKey &key, const IndexEntry &entry, const std::string &text)
{
    HostListSet::Result result = lists.offer(entry, text);
    if (auto *list = std::get_if<HostList>(&result)) {
        std::erase_if(heldBack, [&](const HeldBackValue &value) { return value.key == formatKey(key); });
        const bool enough = list->version >= entry.version;
        outputs.emplace_back(HostListChanged{.list = std::move(*list)});
        return enough;
    }
    if (const auto *invalid = std::get_if<HostListSet::Invalid>(&result)) {
        holdBack(key, invalid->stamp, invalid->findings);
        return true;
    }
    if (auto *conflict = std::get_if<HostListSet::Conflict>(&result)) {
        outputs.emplace_back(VersionConflict{.family = ValueFamily::Hosts, .kept = conflict->kept, .dropped = conflict->dropped});
        if (conflict->list) {
            outputs.emplace_back(HostListChanged{.list = std::move(*conflict->list)});
        }
        return conflict->kept.version >= entry.version;
    }
    return false;
}

ValueReply Distribution::Private::replyFor(ValueFamily which, const IndexEntry &wanted) const
{
    ValueReply reply{.family = which, .value = wanted, .text = {}};
    if (which == ValueFamily::Configuration) {
        const SliceSet::Text text = slices.find(wanted.service, wanted.hash);
        reply.text = text != nullptr ? *text : std::string();
    } else if (const HostListSet::Entry *entry = lists.find(wanted.service); entry != nullptr && entry->stamp.version >= wanted.version) {
        reply.value.version = entry->stamp.version;
        reply.value.hash = entry->stamp.hash;
        reply.text = *entry->text;
    }
    return reply;
}

void Distribution::Private::answerWaiters(const ValueKey &key)
{
    const auto found = waiters.find(key);
    if (found == waiters.end()) {
        return;
    }
    const std::vector<Waiter> waiting = std::move(found->second);
    waiters.erase(found);
    for (const Waiter &waiter : waiting) {
        ValueReply reply = replyFor(key.family, waiter.entry);
        if (!reply.text.empty()) {
            send(waiter.name, waiter.address, std::move(reply));
        }
    }
}

void Distribution::Private::advance()
{
    const TimePoint now = clock.now();
    fetcher.setSpread(coldRead.spreadFor(family(ValueFamily::Configuration).index.entries().size()));
    promote(target());
    if (fallback && slices.inForce() == fallback->stamp()) {
        fallback.reset();
        promote(target());
    }
    fetcher.setWanted(ValueFamily::Configuration, slices.missing(target()), now);
    const ValueIndex &hosts = family(ValueFamily::Hosts).index;
    const std::vector<IndexEntry> missing = lists.missing(hosts, slices.neededFor(target()));
    fetcher.setWanted(ValueFamily::Hosts, missing, now);
    if (missing.empty() && hosts.stamp().version != hostsReached) {
        hostsReached = hosts.stamp().version;
        outputs.emplace_back(HostsVersionReached{.version = hostsReached});
    }
}

void Distribution::Private::promote(const ValueIndex &index)
{
    if (index.stamp().version == 0) {
        return;
    }
    SliceSet::Promotion promotion = slices.promote(index);
    for (const SliceSet::Invalid &invalid : promotion.invalid) {
        heldStamp = index.stamp();
        holdBack({.family = ValueFamily::Configuration, .service = invalid.service},
                 {.version = invalid.entry.version, .hash = invalid.entry.hash}, invalid.findings);
    }
    if (!promotion.done) {
        return;
    }
    inForceSince = clock.now();
    inForceFrom = family(ValueFamily::Configuration).from;
    std::erase_if(heldBack, [](const HeldBackValue &value) { return value.key.starts_with("config/"); });
    outputs.emplace_back(ConfigurationChanged{.stamp = slices.inForce(), .slicesChanged = promotion.changed, .slices = slices.slices()});
    for (const ServiceId &dropped : lists.keepOnly(slices.needed())) {
        outputs.emplace_back(HostListDropped{.service = dropped});
    }
}

void Distribution::Private::holdBack(const ValueKey &key, const VersionStamp &stamp, const std::vector<Finding> &findings)
{
    const std::string name = formatKey(key);
    const bool reported = std::any_of(heldBack.begin(), heldBack.end(),
                                      [&](const HeldBackValue &value) { return value.key == name && value.stamp == stamp; });
    if (reported) {
        return;
    }
    std::erase_if(heldBack, [&](const HeldBackValue &value) { return value.key == name; });
    if (heldBack.size() >= MaxHeldBack) {
        heldBack.erase(heldBack.begin());
    }
    heldBack.push_back({.key = name, .stamp = stamp, .findings = findings, .since = clock.now()});
    outputs.emplace_back(ValueHeldBack{.key = name, .stamp = stamp, .findings = findings});
}

} // namespace wisteriafork
