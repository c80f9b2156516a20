#include "core/published/publishedsync.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteriafork {

PublishedSync::PublishedSync(const PublishedSyncOptions &options, std::string ownAddress, const Clock &clock, const Clock &proofClock,
                             RandomEngine &random, Callbacks callbacks)
    : m_options(options)
    , m_ownAddress(std::move(ownAddress))
    , m_clock(clock)
    , m_proofClock(proofClock)
    , m_random(random)
    , m_callbacks(std::move(callbacks))
    , m_randomPlace(std::uniform_int_distribution<std::size_t>(0, options.readersPerDomain + options.spareReadersPerDomain)(random))
    , m_lastCovered(clock.now())
{
}

void PublishedSync::setCandidates(const std::vector<ReaderCandidate> &candidates)
{
    if (m_ranking.empty()) {
        // Before, there was no reader to wait for.
        m_lastCovered = m_clock.now();
    }
    m_ranking = rankReaders(candidates);
    const auto own = std::ranges::find(m_ranking, m_ownAddress);
    m_listedPlace = own != m_ranking.end() ? std::optional<std::size_t>(own - m_ranking.begin()) : std::nullopt;
}

void PublishedSync::onSourceContact(FeedId feed)
{
    SourceState &state = m_source[static_cast<std::size_t>(feed)];
    state = {.contacted = true, .failing = false, .lastContact = m_clock.now()};
    updateCoverage();
}

void PublishedSync::onSourceFailed(FeedId feed)
{
    m_source[static_cast<std::size_t>(feed)].failing = true;
    updateCoverage();
    respondToWaiting();
}

void PublishedSync::onSourceRead(FeedId feed, std::vector<PublishedChange> content, std::uint64_t revision, std::uint64_t era)
{
    if (era > mutableFeed(feed).era()) {
        beginEra(feed, era, std::move(content), revision);
        return;
    }
    if (era < mutableFeed(feed).era()) {
        return;
    }
    reportChanges(feed, mutableFeed(feed).replaceAll(std::move(content), revision));
}

void PublishedSync::onSourceChanges(FeedId feed, std::vector<PublishedChange> changes, std::uint64_t revision)
{
    reportChanges(feed, mutableFeed(feed).applyChanges(std::move(changes), revision));
}

void PublishedSync::reportChanges(FeedId feed, const std::vector<PublishedChange> &changes)
{
    if (!changes.empty()) {
        m_callbacks.onChanged(feed, changes);
    }
    respondToWaiting();
}

void PublishedSync::onRequest(ChangesRequest request, Responder responder)
{
    request.knownRevisions.resize(FeedCount, 0);
    if (request.asReader) {
        m_lastDemand = m_clock.now();
        updateReading();
    }
    WaitingRequest waiting{.request = std::move(request),
                           .responder = std::move(responder),
                           .arrivalTime = m_clock.now(),
                           .arrivalProofTime = m_proofClock.now(),
                           .knownProof = m_confirmedAt};
    if (std::optional<ChangesResponse> response = dueResponse(waiting)) {
        waiting.responder(std::move(*response));
    } else {
        m_waiting.push_back(std::move(waiting));
    }
}

std::optional<ChangesResponse> PublishedSync::dueResponse(const WaitingRequest &waiting) const
{
    const ChangesRequest &request = waiting.request;
    const Duration waited = m_clock.now() - waiting.arrivalTime;
    const bool waitedForContact = !hasOwnContact() && waited >= m_options.firstContactTime;
    const bool sourceLost = !m_serving || (request.asReader && (isFailing() || waitedForContact));
    const bool hasNews = hasNewsFor(request) || m_confirmedAt > waiting.knownProof;
    const bool waitsOn
        = request.asReader && !sourceLost && !hasNews && (!hasOwnContact() || (request.mayWait && waited < m_options.pollTime));
    if (waitsOn) {
        return std::nullopt;
    }
    ChangesResponse response = responseTo(waiting);
    response.sourceLost = sourceLost;
    return response;
}

bool PublishedSync::hasNewsFor(const ChangesRequest &request) const
{
    for (std::size_t index = 0; index < FeedCount; ++index) {
        const std::uint64_t requestEra = eraIn(request.eras, index);
        if (requestEra < m_feeds[index].era()) {
            return true;
        }
        if (requestEra > m_feeds[index].era()) {
            continue;
        }
        const std::uint64_t known = request.knownRevisions[index];
        if (m_feeds[index].completeRevision() > known && m_feeds[index].lastChangeRevision() > known) {
            return true;
        }
    }
    return false;
}

ChangesResponse PublishedSync::responseTo(const WaitingRequest &waiting) const
{
    const ChangesRequest &request = waiting.request;
    ChangesResponse response;
    if (m_confirmedAt) {
        response.confirmedAfterArrival = std::chrono::floor<std::chrono::microseconds>(*m_confirmedAt - waiting.arrivalProofTime);
    }
    response.holdRemovalsMs
        = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_callbacks.removalHoldTime()).count());
    response.lastChanges = lastChanges();
    response.eras = eras();
    for (std::size_t index = 0; index < FeedCount && !request.revisionsOnly; ++index) {
        // A node of another era gets everything.
        response.feeds.push_back(
            m_feeds[index].updateSince(eraIn(request.eras, index) == m_feeds[index].era() ? request.knownRevisions[index] : 0));
    }
    return response;
}

void PublishedSync::respondToWaiting()
{
    std::vector<std::pair<Responder, ChangesResponse>> due;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (std::optional<ChangesResponse> response = dueResponse(*waiting)) {
            due.emplace_back(std::move(waiting->responder), std::move(*response));
            waiting = m_waiting.erase(waiting);
        } else {
            ++waiting;
        }
    }
    for (auto &[responder, response] : due) {
        responder(std::move(response));
    }
}

void PublishedSync::onRevisionsSeen(const std::string &address, std::span<const std::uint64_t> revisions)
{
    for (std::size_t index = 0; index < std::min(FeedCount, revisions.size()); ++index) {
        const std::uint64_t seenEra = revisions.size() >= 2 * FeedCount ? revisions[FeedCount + index] : 0;
        if (seenEra < m_feeds[index].era()) {
            continue;
        }
        if (seenEra > m_feeds[index].era()) {
            m_aheadEras[index] = std::max(m_aheadEras[index], seenEra);
            m_aheadAddress = address;
            m_behindSince = m_behindSince.value_or(m_clock.now());
            continue;
        }
        m_aheadRevisions[index] = std::max(m_aheadRevisions[index], revisions[index]);
        if (revisions[index] > m_feeds[index].completeRevision()) {
            m_aheadAddress = address;
            m_behindSince = m_behindSince.value_or(m_clock.now());
        }
    }
}

bool PublishedSync::isBehind() const
{
    for (std::size_t index = 0; index < FeedCount; ++index) {
        if (m_aheadEras[index] > m_feeds[index].era() || m_aheadRevisions[index] > m_feeds[index].completeRevision()) {
            return true;
        }
    }
    return false;
}

void PublishedSync::fetchFrom(const std::string &address)
{
    const TimePoint now = m_clock.now();
    if (m_fetchPending && now - m_fetchSentAt < m_options.pollTimeout) {
        return;
    }
    m_fetchPending = true;
    m_fetchSentAt = now;
    m_callbacks.sendRequest(address, {.knownRevisions = knownRevisions(), .eras = eras()},
                            [this, askedAt = m_proofClock.now()](std::optional<ChangesResponse> response) {
                                m_fetchPending = false;
                                if (response) {
                                    applyResponse(std::move(*response), askedAt);
                                }
                                // If something is still missing, the next message of a node that has it says so.
                                m_behindSince.reset();
                                m_aheadRevisions = {};
                                m_aheadEras = {};
                            });
}

void PublishedSync::catchUp()
{
    if (!isBehind()) {
        m_behindSince.reset();
    }
    if (m_behindSince && m_clock.now() - *m_behindSince >= m_options.catchUpDelay) {
        m_behindSince = m_clock.now();
        fetchFrom(m_aheadAddress);
    }
}

void PublishedSync::applyResponse(ChangesResponse response, TimePoint askedAt)
{
    if (response.holdRemovalsMs > 0) {
        m_callbacks.onRemovalsHeld(std::chrono::milliseconds(response.holdRemovalsMs));
    }
    response.feeds.resize(FeedCount);
    for (std::size_t index = 0; index < FeedCount; ++index) {
        FeedUpdate &update = response.feeds[index];
        const auto feed = static_cast<FeedId>(index);
        if (eraIn(response.eras, index) > m_feeds[index].era() && update.whole && update.to > 0) {
            beginEra(feed, eraIn(response.eras, index), std::move(update.changes), update.to);
        } else if (eraIn(response.eras, index) == m_feeds[index].era()) {
            reportChanges(feed, m_feeds[index].merge(std::move(update)));
        }
    }
    adoptProof(response, askedAt);
}

std::vector<std::uint64_t> PublishedSync::knownRevisions() const
{
    std::vector<std::uint64_t> revisions;
    for (const PublishedFeed &feed : m_feeds) {
        revisions.push_back(feed.completeRevision());
    }
    return revisions;
}

std::vector<std::uint64_t> PublishedSync::lastChanges() const
{
    std::vector<std::uint64_t> revisions;
    for (const PublishedFeed &feed : m_feeds) {
        revisions.push_back(feed.lastChangeRevision());
    }
    return revisions;
}

bool PublishedSync::hasOwnContact() const
{
    return m_reading && std::ranges::all_of(m_source, [](const SourceState &state) { return state.contacted && !state.failing; });
}

bool PublishedSync::isFailing() const
{
    return m_reading && std::ranges::any_of(m_source, &SourceState::failing);
}

bool PublishedSync::isCoveredByReader() const
{
    return std::ranges::any_of(m_readers, [](const auto &entry) { return entry.second.confirmed; });
}

bool PublishedSync::isCovered() const
{
    return hasOwnContact() || isCoveredByReader();
}

void PublishedSync::updateCoverage()
{
    const bool coveredByReader = isCoveredByReader();
    if (isCovered()) {
        m_lastCovered = m_clock.now();
        // A reader says at once when it loses the source; the node itself notices it only when a call ends.
        m_lastContact = coveredByReader ? m_lastCovered : std::ranges::min(m_source, {}, &SourceState::lastContact).lastContact;
        m_hadContact = true;
        if (std::exchange(m_lost, false)) {
            m_callbacks.onSourceRestored();
        }
    } else if (m_hadContact && !std::exchange(m_lost, true)) {
        m_callbacks.onSourceLost(m_lastContact);
    }
}

bool PublishedSync::suspectsOutage() const
{
    return m_lastLossReport > m_lastCovered;
}

std::size_t PublishedSync::consideredPlaces() const
{
    const bool outage = suspectsOutage();
    const Duration interval = outage ? m_options.wideningIntervalInOutage
        : m_hadContact               ? m_options.wideningInterval
                                     : m_options.uncoveredTimeAtStart / 4;
    const std::size_t most = outage ? m_options.maxConsideredInOutage : m_options.maxConsidered;
    std::size_t places = m_options.readersPerDomain + m_options.spareReadersPerDomain;
    for (Duration passed = isCovered() ? Duration(0) : m_clock.now() - m_lastCovered; passed >= interval && places < most;
         passed -= interval) {
        places *= 2;
    }
    return std::min(places, most);
}

Duration PublishedSync::patience() const
{
    if (m_ranking.empty()) {
        return m_options.uncoveredTimeWithoutCandidates + m_options.uncoveredTimePerPlace * static_cast<int>(m_randomPlace);
    }
    if (suspectsOutage()) {
        return m_options.uncoveredTimeInOutage + m_options.uncoveredTimePerPlace * static_cast<int>(ownPlace());
    }
    return m_hadContact ? m_options.uncoveredTime : m_options.uncoveredTimeAtStart;
}

void PublishedSync::readDirectlyIfUncovered()
{
    const TimePoint now = m_clock.now();
    const bool isConsidered = m_hadContact && m_listedPlace && *m_listedPlace < consideredPlaces();
    if (!isCovered() && (isConsidered || now - m_lastCovered >= patience())) {
        m_directUntil = now + m_options.directReadTime;
    }
}

std::size_t PublishedSync::ownPlace() const
{
    return m_listedPlace.value_or(m_randomPlace);
}

bool PublishedSync::readsForOthers() const
{
    const bool isDemanded = m_lastDemand && m_clock.now() - *m_lastDemand < m_options.demandLifetime;
    return m_serving && ((m_listedPlace && *m_listedPlace < m_options.readersPerDomain) || isDemanded);
}

void PublishedSync::updateReading()
{
    const bool mayStop = isCoveredByReader() || !hasOwnContact();
    const bool reading = readsForOthers() || m_clock.now() < m_directUntil || (m_reading && !mayStop);
    if (reading == m_reading) {
        return;
    }
    m_reading = reading;
    m_source = {};
    m_callbacks.setReading(reading);
    updateCoverage();
}

std::vector<std::string> PublishedSync::chooseReaders()
{
    std::vector<std::string> chosen;
    if (hasOwnContact() && readsForOthers()) {
        return chosen;
    }
    const TimePoint now = m_clock.now();
    const std::size_t considered = consideredPlaces();
    const auto knownConfirmed
        = static_cast<std::size_t>(std::ranges::count_if(m_readers, [](const auto &entry) { return entry.second.confirmed; }));
    std::size_t confirmed = 0;
    std::size_t unconfirmed = 0;
    std::size_t place = 0;
    for (const std::string &address : m_ranking) {
        if (confirmed == m_options.readersPerDomain || (place >= considered && confirmed == knownConfirmed)) {
            break;
        }
        if (address == m_ownAddress) {
            continue;
        }
        const auto known = m_readers.find(address);
        if (known != m_readers.end() && known->second.confirmed) {
            // Kept until better ones have shown contact, so that a failed reader that is tried again leaves no gap.
            chosen.push_back(address);
            ++confirmed;
        } else if (place < considered && confirmed + unconfirmed < considered / 2
                   && (known == m_readers.end() || now >= known->second.pausedUntil)) {
            chosen.push_back(address);
            ++unconfirmed;
        }
        ++place;
    }
    return chosen;
}

void PublishedSync::pollReaders()
{
    const TimePoint now = m_clock.now();
    const std::vector<std::string> chosen = chooseReaders();
    for (auto &[address, reader] : m_readers) {
        if (reader.pollPending && now - reader.pollSentAt >= m_options.pollTimeout) {
            pauseReader(address, reader, ReaderState::Silent);
        }
        if (!reader.pollPending && std::ranges::find(chosen, address) == chosen.end()) {
            reader.confirmed = false;
        }
    }
    bool getsChanges = false;
    for (const std::string &address : chosen) {
        const Reader &reader = m_readers[address];
        const bool confirmed = reader.confirmed;
        if (!reader.pollPending && now >= reader.pausedUntil) {
            sendPoll(address, getsChanges);
        }
        getsChanges = getsChanges || confirmed;
    }
    std::erase_if(m_readers, [&](const auto &entry) {
        return !entry.second.pollPending && std::ranges::find(m_ranking, entry.first) == m_ranking.end();
    });
}

void PublishedSync::sendPoll(const std::string &address, bool revisionsOnly)
{
    Reader &reader = m_readers[address];
    reader.pollPending = true;
    reader.pollSentAt = m_clock.now();
    reader.pollProofTime = m_proofClock.now();
    reader.requestNumber = ++m_lastRequestNumber;
    const ChangesRequest request{.knownRevisions = knownRevisions(),
                                 .asReader = true,
                                 .mayWait = reader.confirmed,
                                 .revisionsOnly = revisionsOnly && reader.confirmed,
                                 .eras = eras()};
    m_callbacks.sendRequest(address, request, [this, address, number = reader.requestNumber](std::optional<ChangesResponse> response) {
        onPollAnswered(address, number, std::move(response));
    });
}

void PublishedSync::onPollAnswered(const std::string &address, std::uint64_t requestNumber, std::optional<ChangesResponse> response)
{
    const auto found = m_readers.find(address);
    if (found == m_readers.end() || found->second.requestNumber != requestNumber || !found->second.pollPending) {
        return;
    }
    Reader &reader = found->second;
    reader.pollPending = false;
    const TimePoint askedAt = reader.pollProofTime;
    if (!response || response->sourceLost) {
        m_lastLossReport = response ? m_clock.now() : m_lastLossReport;
        pauseReader(address, reader, response ? ReaderState::SourceLost : ReaderState::Silent);
        if (response) {
            applyResponse(std::move(*response), askedAt);
        }
        updateCoverage();
        return;
    }
    if (!std::exchange(reader.confirmed, true)) {
        m_callbacks.onReaderChanged(address, ReaderState::HasContact);
    }
    reader.pause = Duration(0);
    updateCoverage();
    if (response->feeds.empty()) {
        std::vector<std::uint64_t> revisions = response->lastChanges;
        revisions.resize(FeedCount, 0);
        std::ranges::copy(response->eras, std::back_inserter(revisions));
        onRevisionsSeen(address, revisions);
        adoptProof(*response, askedAt);
    } else {
        applyResponse(std::move(*response), askedAt);
    }
    pollReaders();
}

void PublishedSync::pauseReader(const std::string &address, Reader &reader, ReaderState state)
{
    reader.pollPending = false;
    if (std::exchange(reader.confirmed, false)) {
        m_callbacks.onReaderChanged(address, state);
    }
    reader.pause = std::clamp(2 * reader.pause, m_options.minReaderPause, m_options.maxReaderPause);
    reader.pausedUntil = m_clock.now() + reader.pause;
}

void PublishedSync::tick()
{
    const TimePoint now = m_clock.now();
    pollReaders();
    updateCoverage();
    readDirectlyIfUncovered();
    updateReading();
    if (m_ranking.empty() && !m_hadContact && now >= m_nextCandidateRead) {
        const auto interval = m_options.candidateReadInterval;
        m_nextCandidateRead = now + interval / 2 + Duration(std::uniform_int_distribution<Duration::rep>(0, interval.count())(m_random));
        m_callbacks.readCandidates();
    }
    catchUp();
    confirmIfDue();
    respondToWaiting();
}

void PublishedSync::stopServing()
{
    m_serving = false;
    respondToWaiting();
}

} // namespace wisteriafork
