#include "core/distribution/distribution.h"

#include "core/distribution/distributionprivate.h"

#include <utility>
#include <variant>

namespace wisteriafork {

Distribution::Distribution(DistributionOptions options, const Membership &membership, const Clock &clock, RandomEngine random)
    : d(std::make_unique<Private>(std::move(options), membership, clock, random))
{
}

Distribution::~Distribution() = default;

void Distribution::valueRead(const std::string &key, std::string_view value)
{
    const std::optional<ValueKey> parsed = parseKey(key);
    if (!parsed) {
        return;
    }
    if (parsed->service.empty()) {
        d->indexRead(parsed->family, value);
        return;
    }
    const IndexEntry *wanted = d->fetcher.wanted(*parsed);
    if (wanted != nullptr) {
        d->valueArrived(*parsed, IndexEntry(*wanted), std::string(value), true);
    }
}

void Distribution::readFailed(const std::string &key)
{
    const std::optional<ValueKey> parsed = parseKey(key);
    if (parsed && !parsed->service.empty()) {
        d->fetcher.noteServiceMiss(*parsed, d->clock.now());
    }
}

void Distribution::handle(const NodeId &from, const DistributionMessage &message)
{
    std::visit([&](const auto &alternative) { d->receive(from, alternative); }, message);
}

void Distribution::noteUnreachable(const NodeId &peer)
{
    d->gate.noteUnreachable(peer);
    d->fetcher.noteUnreachable(peer, d->clock.now());
}

void Distribution::require(const ServiceId &service)
{
    d->slices.require(service);
    d->advance();
}

void Distribution::tick()
{
    const TimePoint now = d->clock.now();
    if (d->started == TimePoint{}) {
        d->start(now);
    }
    if (!d->ready) {
        d->askAtStart(now);
        d->askForInForce(now);
        d->readBlindly(now);
    }
    d->fetch(now);
    d->pushIndex(ValueFamily::Configuration);
    d->pushIndex(ValueFamily::Hosts);
    if (d->ready) {
        d->watch(now);
    }
    d->sendDigests(now);
    if (!d->ready) {
        d->checkReady(now);
    }
}

std::vector<DistributionOutput> Distribution::takeOutputs()
{
    return std::exchange(d->outputs, {});
}

bool Distribution::isReady() const
{
    return d->ready;
}

bool Distribution::isReading() const
{
    return d->election.isReading();
}

const VersionStamp &Distribution::inForce() const
{
    return d->slices.inForce();
}

DistributionStatus Distribution::status() const
{
    return {.inForce = d->slices.inForce(),
            .inForceSince = d->inForceSince,
            .inForceFrom = d->inForceFrom,
            .known = d->family(ValueFamily::Configuration).index.stamp(),
            .hosts = d->family(ValueFamily::Hosts).index.stamp(),
            .heldBack = d->heldBack,
            .ready = d->ready,
            .reading = d->election.isReading()};
}

} // namespace wisteriafork
