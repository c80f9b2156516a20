#include "core/published/publishedsync.h"

#include <algorithm>
#include <utility>

namespace wisteriafork {

PublishedSync::PublishedSync(const PublishedSyncOptions &options, std::string ownAddress, const Clock &clock, RandomEngine &random,
                             Callbacks callbacks)
    : m_options(options)
    , m_ownAddress(std::move(ownAddress))
    , m_clock(clock)
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

void PublishedSync::onSourceRead(FeedId feed, std::vector<PublishedChange> content, std::uint64_t revision)
{
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
    if (std::optional<ChangesResponse> response = dueResponse(request, m_clock.now())) {
        responder(std::move(*response));
    } else {
        m_waiting.push_back({.request = std::move(request), .responder = std::move(responder), .arrivalTime = m_clock.now()});
    }
}

std::optional<ChangesResponse> PublishedSync::dueResponse(const ChangesRequest &request, TimePoint arrivalTime) const
{
    const Duration waited = m_clock.now() - arrivalTime;
    const bool waitedForContact = !hasOwnContact() && waited >= m_options.firstContactTime;
    const bool sourceLost = !m_serving || (request.asReader && (isFailing() || waitedForContact));
    const bool waitsOn
        = request.asReader && !sourceLost && !hasNewsFor(request) && (!hasOwnContact() || (request.mayWait && waited < m_options.pollTime));
    if (waitsOn) {
        return std::nullopt;
    }
    ChangesResponse response = responseTo(request);
    response.sourceLost = sourceLost;
    return response;
}

bool PublishedSync::hasNewsFor(const ChangesRequest &request) const
{
    for (std::size_t index = 0; index < FeedCount; ++index) {
        const std::uint64_t known = request.knownRevisions[index];
        if (m_feeds[index].completeRevision() > known && m_feeds[index].lastChangeRevision() > known) {
            return true;
        }
    }
    return false;
}

ChangesResponse PublishedSync::responseTo(const ChangesRequest &request) const
{
    ChangesResponse response;
    response.holdRemovalsMs
        = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_callbacks.removalHoldTime()).count());
    response.lastChanges = lastChanges();
    for (std::size_t index = 0; index < FeedCount && !request.revisionsOnly; ++index) {
        response.feeds.push_back(m_feeds[index].updateSince(request.knownRevisions[index]));
    }
    return response;
}

void PublishedSync::respondToWaiting()
{
    std::vector<std::pair<Responder, ChangesResponse>> due;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (std::optional<ChangesResponse> response = dueResponse(waiting->request, waiting->arrivalTime)) {
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

void PublishedSync::onRevisionsSeen(const std::string &address, std::span<const std::uint64_t> lastChanges)
{
    for (std::size_t index = 0; index < std::min(FeedCount, lastChanges.size()); ++index) {
        m_aheadRevisions[index] = std::max(m_aheadRevisions[index], lastChanges[index]);
        if (lastChanges[index] > m_feeds[index].completeRevision()) {
            m_aheadAddress = address;
            m_behindSince = m_behindSince.value_or(m_clock.now());
        }
    }
}

bool PublishedSync::isBehind() const
{
    for (std::size_t index = 0; index < FeedCount; ++index) {
        if (m_aheadRevisions[index] > m_feeds[index].completeRevision()) {
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
    m_callbacks.sendRequest(address, {.knownRevisions = knownRevisions()}, [this](std::optional<ChangesResponse> response) {
        m_fetchPending = false;
        if (response) {
            applyResponse(std::move(*response));
        }
        // If something is still missing, the next message of a node that has it says so.
        m_behindSince.reset();
        m_aheadRevisions = {};
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

void PublishedSync::applyResponse(ChangesResponse response)
{
    if (response.holdRemovalsMs > 0) {
        m_callbacks.onRemovalsHeld(std::chrono::milliseconds(response.holdRemovalsMs));
    }
    response.feeds.resize(FeedCount);
    for (std::size_t index = 0; index < FeedCount; ++index) {
        reportChanges(static_cast<FeedId>(index), m_feeds[index].merge(std::move(response.feeds[index])));
    }
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

void PublishedSync::updateCoverage()
{
    const bool coveredByReader = isCoveredByReader();
    if (hasOwnContact() || coveredByReader) {
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

std::size_t PublishedSync::ownPlace() const
{
    const auto found = std::ranges::find(m_ranking, m_ownAddress);
    return found != m_ranking.end() ? static_cast<std::size_t>(found - m_ranking.begin()) : m_randomPlace;
}

bool PublishedSync::readsForOthers() const
{
    const bool isListed = std::ranges::find(m_ranking, m_ownAddress) != m_ranking.end();
    const bool isDemanded = m_lastDemand && m_clock.now() - *m_lastDemand < m_options.demandLifetime;
    return m_serving && ((isListed && ownPlace() < m_options.readersPerDomain) || isDemanded);
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

void PublishedSync::pollReaders()
{
    const TimePoint now = m_clock.now();
    std::vector<std::string> chosen;
    std::size_t considered = 0;
    for (const std::string &address : m_ranking) {
        if ((hasOwnContact() && readsForOthers()) || chosen.size() == m_options.readersPerDomain
            || considered == m_options.readersPerDomain + m_options.spareReadersPerDomain) {
            break;
        }
        if (address != m_ownAddress) {
            ++considered;
            if (now >= m_readers[address].pausedUntil) {
                chosen.push_back(address);
            }
        }
    }
    for (auto &[address, reader] : m_readers) {
        if (reader.pollPending && now - reader.pollSentAt >= m_options.pollTimeout) {
            pauseReader(address, reader, ReaderState::Silent);
        }
        if (!reader.pollPending && std::ranges::find(chosen, address) == chosen.end()) {
            reader.confirmed = false;
        }
    }
    for (std::size_t index = 0; index < chosen.size(); ++index) {
        const Reader &reader = m_readers[chosen[index]];
        if (!reader.pollPending && now >= reader.pausedUntil) {
            sendPoll(chosen[index], index > 0);
        }
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
    reader.requestNumber = ++m_lastRequestNumber;
    const ChangesRequest request{.knownRevisions = knownRevisions(),
                                 .asReader = true,
                                 .mayWait = reader.confirmed,
                                 .revisionsOnly = revisionsOnly && reader.confirmed};
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
    if (!response || response->sourceLost) {
        pauseReader(address, reader, response ? ReaderState::SourceLost : ReaderState::Silent);
        if (response) {
            applyResponse(std::move(*response));
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
        onRevisionsSeen(address, response->lastChanges);
    } else {
        applyResponse(std::move(*response));
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
    const Duration patience = m_ranking.empty()
        ? m_options.uncoveredTimeWithoutCandidates + m_options.uncoveredTimePerPlace * static_cast<int>(m_randomPlace)
        : m_options.uncoveredTime + m_options.uncoveredTimePerPlace * static_cast<int>(ownPlace());
    if (now - m_lastCovered >= patience) {
        m_directUntil = now + m_options.directReadTime;
    }
    updateReading();
    if (m_ranking.empty() && !m_hadContact && now >= m_nextCandidateRead) {
        const auto interval = m_options.candidateReadInterval;
        m_nextCandidateRead = now + interval / 2 + Duration(std::uniform_int_distribution<Duration::rep>(0, interval.count())(m_random));
        m_callbacks.readCandidates();
    }
    catchUp();
    respondToWaiting();
}

void PublishedSync::stopServing()
{
    m_serving = false;
    respondToWaiting();
}

} // namespace wisteriafork
