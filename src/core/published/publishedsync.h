#pragma once

#include "core/base/clock.h"
#include "core/base/random.h"
#include "core/published/changesmessages.h"
#include "core/published/publishedfeed.h"
#include "core/published/readerranking.h"

#include <array>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <span>

namespace wisteriafork {

// The kinds of published state.
enum class FeedId : std::uint8_t {
    Configuration,
    Instances,
};
constexpr std::size_t FeedCount = 2;

// What a node knows of a reader that it asks.
enum class ReaderState : std::uint8_t {
    HasContact,
    // The reader said that it cannot read the source, or does not read it any more.
    SourceLost,
    // The reader did not answer.
    Silent,
};

struct PublishedSyncOptions
{
    // Nodes of each failure domain that read the source for the others, and further ones that are asked when these fail. Two readers, so
    // that the loss of one delays nothing.
    std::size_t readersPerDomain = 2;
    std::size_t spareReadersPerDomain = 2;
    // Readers and spare readers that a node without contact considers at most: twice as many after each interval, so that the readers grow
    // with the nodes that are lost and not with all nodes. Fewer if readers answer that they lost the source: probably all nodes have.
    std::size_t maxConsidered = 16;
    std::size_t maxConsideredInOutage = 8;
    Duration wideningInterval = std::chrono::milliseconds(100);
    Duration wideningIntervalInOutage = std::chrono::milliseconds(500);
    // Time for which a reader may wait for a change before it responds, and time after which a response is no longer expected.
    Duration pollTime = std::chrono::seconds(4);
    Duration pollTimeout = std::chrono::milliseconds(4600);
    // Bounds of the time for which a reader is not asked after it failed or lost the source. It doubles with each failure.
    Duration minReaderPause = std::chrono::milliseconds(500);
    Duration maxReaderPause = std::chrono::seconds(4);
    // Time without contact to the source, its own or that of a reader, after which a node reads the source itself, whatever its place in
    // the ranking. A silent reader is noticed after up to 0.9 s; together it stays below the 2 s within which a change has to be known.
    Duration uncoveredTime = std::chrono::milliseconds(400);
    // The same if readers answered that they lost the source, and the additional time for each place in the ranking, so that not all nodes
    // call a source that is out of service.
    Duration uncoveredTimeInOutage = std::chrono::milliseconds(1500);
    Duration uncoveredTimePerPlace = std::chrono::milliseconds(500);
    // The same for a node that has had no contact since its start.
    Duration uncoveredTimeAtStart = std::chrono::milliseconds(1500);
    // The same for a node that knows no candidate: the instances are listed some time after a start of the whole fleet.
    Duration uncoveredTimeWithoutCandidates = std::chrono::seconds(4);
    // Time for which a node goes on reading after its readers have come back, and after another node has last relied on it.
    Duration directReadTime = std::chrono::seconds(5);
    Duration demandLifetime = std::chrono::seconds(5);
    // Time for a change to arrive on the usual way after another node was seen to know it. After that, the change is fetched from that
    // node.
    Duration catchUpDelay = std::chrono::milliseconds(200);
    // Interval at which a node without contact reads the list of candidates.
    Duration candidateReadInterval = std::chrono::milliseconds(500);
    // Time for which removals are held back after the source has come back from an older copy: live instances register again meanwhile.
    Duration restoredRemovalHold = std::chrono::milliseconds(2300);
    // Time for which a request may wait until this node, which has just become a reader, has its first contact to the source.
    Duration firstContactTime = std::chrono::seconds(1);
    // Age of the proof that the configuration is the newest one, after which a reader asks the source for another one. 0: no proofs.
    Duration confirmationInterval{0};
    // Time after which a request for a proof is repeated if it was not answered.
    Duration confirmationRetryInterval = std::chrono::milliseconds(500);
};

// Keeps the published state of a node up to date while only a few nodes of each failure domain read the source. Every node chooses the
// readers alone, by the list of instances that it has. A reader passes changes on to the nodes that wait for them. A node notices that its
// readers have failed, lag behind or lost the source by their answers, by their silence, and by the revisions that all nodes add to their
// messages to each other; it then fetches what it lacks from any of them, asks other readers, and after a time reads the source itself.
//
// The number of readers grows with the failure domains and not with the nodes. Answers the loss of readers, and outages of the source for
// all nodes or some. Uses no sockets and timers; not thread safe.
class PublishedSync
{
public:
    using ResponseHandler = std::function<void(std::optional<ChangesResponse>)>;
    using Responder = std::function<void(ChangesResponse)>;

    struct Callbacks
    {
        // Sends a request to the node at the address. The handler is called at most once, never before the function returns, with nothing
        // if there is no answer.
        std::function<void(const std::string &address, const ChangesRequest &request, ResponseHandler handler)> sendRequest;
        // Starts or stops to follow the source; changes arrive through `onSourceRead` and `onSourceChanges`. A start continues from the
        // complete revisions.
        std::function<void(bool reading)> setReading;
        // A reader that this node asks has shown contact to the source, or has stopped to show it.
        std::function<void(const std::string &address, ReaderState state)> onReaderChanged;
        // Reads the list of candidates once, even if it is a little old; `setCandidates` follows.
        std::function<void()> readCandidates;
        // Changes that were not known before.
        std::function<void(FeedId feed, const std::vector<PublishedChange> &changes)> onChanged;
        // The state can no longer be kept up to date; the last contact of the source that counts was at `lastContact`.
        std::function<void(TimePoint lastContact)> onSourceLost;
        std::function<void()> onSourceRestored;
        // Decides whether an item of an older copy of the source replaces the known one. Without it, nothing is replaced.
        PublishedFeed::ReplacePolicy mayReplace = nullptr;
        // Another node holds removals back for this time, because of an outage that it has noticed.
        std::function<void(Duration time)> onRemovalsHeld;
        // Time for which this node holds removals back.
        std::function<Duration()> removalHoldTime;
        // Asks the source at once whether there is a newer configuration; `onSourceConfirmed` follows. Used only with a confirmation
        // interval.
        std::function<void()> confirmSource = nullptr;
        // The known configuration was the newest one at this time of the proof clock. Used only with a confirmation interval.
        std::function<void(TimePoint confirmedAt)> onConfirmed = nullptr;
    };

    // `clock`, `proofClock` and `random` must outlive the object. All callbacks must be set, unless they say otherwise. `proofClock` gives
    // the times of proofs and must count the time for which the host is suspended.
    PublishedSync(const PublishedSyncOptions &options, std::string ownAddress, const Clock &clock, const Clock &proofClock,
                  RandomEngine &random, Callbacks callbacks);

    // Nodes beside the listed instances of the own failure domain that are not draining, possibly with the own one.
    void setCandidates(const std::vector<ReaderCandidate> &candidates);
    // Results of reading the source. `onSourceContact` precedes the content of a response.
    void onSourceContact(FeedId feed);
    void onSourceFailed(FeedId feed);
    // `era` is greater than that of the feed if the source has come back from an older copy.
    void onSourceRead(FeedId feed, std::vector<PublishedChange> content, std::uint64_t revision, std::uint64_t era = 0);
    void onSourceChanges(FeedId feed, std::vector<PublishedChange> changes, std::uint64_t revision);
    // The source was asked at this time of the proof clock, and all changes of the configuration up to then have been passed on.
    void onSourceConfirmed(TimePoint askedAt);
    // Request of another node. The responder is called once, possibly later.
    void onRequest(ChangesRequest request, Responder responder);
    // The node at the address knows changes up to these revisions, one for each feed, possibly followed by their eras. If this node lacks
    // some, it fetches them unless they arrive shortly.
    void onRevisionsSeen(const std::string &address, std::span<const std::uint64_t> revisions);
    // Fetches what this node lacks from the node at the address.
    void fetchFrom(const std::string &address);
    // Decides who is asked and whether the source is read. Call every 100 ms, and once at the start.
    void tick();
    // Responds to all waiting requests and no longer acts as a reader for others: the process stops.
    void stopServing();

    const PublishedFeed &feed(FeedId feed) const
    {
        return m_feeds[static_cast<std::size_t>(feed)];
    }

    // Revisions of the last known changes, to be added to messages to other nodes; with their eras, unless all are 0.
    std::vector<std::uint64_t> seenRevisions() const;
    // Revisions of the last known changes.
    std::vector<std::uint64_t> lastChanges() const;
    // Eras of the feeds; empty if all are 0.
    std::vector<std::uint64_t> eras() const;
    // True if this node follows the source itself.
    bool isReading() const
    {
        return m_reading;
    }

private:
    struct Reader
    {
        bool pollPending = false;
        TimePoint pollSentAt{};
        // The same by the proof clock.
        TimePoint pollProofTime{};
        // The last answer showed contact to the source, and no failure has followed.
        bool confirmed = false;
        TimePoint pausedUntil{};
        Duration pause{0};
        // Number of the last request. Answers to earlier ones are ignored.
        std::uint64_t requestNumber = 0;
    };

    struct WaitingRequest
    {
        ChangesRequest request;
        Responder responder;
        TimePoint arrivalTime;
        // The same by the proof clock, and the proof of that time.
        TimePoint arrivalProofTime;
        std::optional<TimePoint> knownProof;
    };

    struct SourceState
    {
        // Contact since the start of the reading, and none of the later calls has failed.
        bool contacted = false;
        bool failing = false;
        TimePoint lastContact{};
    };

    PublishedFeed &mutableFeed(FeedId feed)
    {
        return m_feeds[static_cast<std::size_t>(feed)];
    }

    std::vector<std::uint64_t> knownRevisions() const;
    // This node follows the source and all its last calls succeeded.
    bool hasOwnContact() const;
    bool isFailing() const;
    // True if one of the readers that this node asks has contact to the source.
    bool isCoveredByReader() const;
    // True if this node or one of the readers that it asks has contact to the source.
    bool isCovered() const;
    void updateCoverage();
    // True if a reader has answered that it lost the source since this node was last covered.
    bool suspectsOutage() const;
    // Number of the first nodes in the ranking that this node considers as readers now.
    std::size_t consideredPlaces() const;
    // Time without contact after which this node reads the source itself.
    Duration patience() const;
    // Lets this node read the source itself if it has waited long enough, or if it is one of the nodes that others without contact
    // consider.
    void readDirectlyIfUncovered();
    // Addresses of the readers to ask now, by their places in the ranking.
    std::vector<std::string> chooseReaders();
    // True if another node was seen to know a change that this one lacks.
    bool isBehind() const;
    // Place of the own node in the ranking; a random one if it is not listed.
    std::size_t ownPlace() const;
    // True if this node is one of the readers, or another node relies on it as one.
    bool readsForOthers() const;
    // Starts or ends reading the source. Without an obligation to others it ends only when a reader has contact.
    void updateReading();
    void pollReaders();
    void sendPoll(const std::string &address, bool revisionsOnly);
    void onPollAnswered(const std::string &address, std::uint64_t requestNumber, std::optional<ChangesResponse> response);
    // Does not ask the reader for some time, because of the given state.
    void pauseReader(const std::string &address, Reader &reader, ReaderState state);
    void catchUp();
    // Applies the response to a request that was sent at this time of the proof clock.
    void applyResponse(ChangesResponse response, TimePoint askedAt);
    // Takes over the proof of a response if this node knows the configuration that it is about.
    void adoptProof(const ChangesResponse &response, TimePoint askedAt);
    void recordProof(TimePoint confirmedAt);
    // Asks the source for a proof if the own one is too old.
    void confirmIfDue();
    void reportChanges(FeedId feed, const std::vector<PublishedChange> &changes);
    // Takes over the whole content of a later era.
    void beginEra(FeedId feed, std::uint64_t era, std::vector<PublishedChange> content, std::uint64_t revision);
    // True if this node knows changes that the sender of the request lacks.
    bool hasNewsFor(const ChangesRequest &request) const;
    ChangesResponse responseTo(const WaitingRequest &waiting) const;
    void respondToWaiting();
    // The response to a request that has waited since its arrival, or nothing if it has to wait on.
    std::optional<ChangesResponse> dueResponse(const WaitingRequest &waiting) const;

    const PublishedSyncOptions m_options;
    const std::string m_ownAddress;
    const Clock &m_clock;
    const Clock &m_proofClock;
    RandomEngine &m_random;
    const Callbacks m_callbacks;
    std::array<PublishedFeed, FeedCount> m_feeds;
    std::array<SourceState, FeedCount> m_source;
    // Addresses in the order in which the nodes read the source.
    std::vector<std::string> m_ranking;
    // Place of the own node; empty if it is not listed.
    std::optional<std::size_t> m_listedPlace;
    std::map<std::string, Reader> m_readers;
    std::list<WaitingRequest> m_waiting;
    std::size_t m_randomPlace = 0;
    bool m_reading = false;
    bool m_serving = true;
    bool m_lost = false;
    // There was contact to the source at least once.
    bool m_hadContact = false;
    TimePoint m_lastContact{};
    TimePoint m_lastCovered{};
    // Time at which a reader last answered that it lost the source.
    TimePoint m_lastLossReport{};
    TimePoint m_directUntil{};
    std::optional<TimePoint> m_lastDemand;
    TimePoint m_nextCandidateRead{};
    // Node that is known to have newer changes, and since when.
    std::string m_aheadAddress;
    std::optional<TimePoint> m_behindSince;
    // Highest revisions that other nodes were seen to know.
    std::array<std::uint64_t, FeedCount> m_aheadRevisions{};
    std::array<std::uint64_t, FeedCount> m_aheadEras{};
    bool m_fetchPending = false;
    TimePoint m_fetchSentAt{};
    // Latest time of the proof clock at which the known configuration was the newest one, and the latest that the source itself confirmed.
    std::optional<TimePoint> m_confirmedAt;
    std::optional<TimePoint> m_confirmedBySource;
    TimePoint m_lastConfirmationRequest{};
    std::uint64_t m_lastRequestNumber = 0;
};

} // namespace wisteriafork
