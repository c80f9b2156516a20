#pragma once

#include "net/serverexchange.h"
#include "relay/attemptoutcome.h"
#include "relay/attemptsender.h"
#include "relay/relayparts.h"

#include <memory>
#include <string>
#include <vector>

namespace wisteriafork {

// One request of a caller or of the local backend server, from its arrival to its answer. The node at which it arrives decides alone to
// which instances it is sent: a non-idempotent request goes to another instance only when it has certainly not run.
class RelayCall : public std::enable_shared_from_this<RelayCall>
{
public:
    RelayCall(RelayParts &parts, AttemptSender &sender, std::shared_ptr<ServerExchange> exchange);

    void start();
    void callerGone();
    // Does what has become due. Called every few milliseconds.
    void wake();

    bool isFinished() const
    {
        return m_finished;
    }

private:
    struct EndedAttempt
    {
        std::string instance;
        std::string peerAddress;
        TimePoint started;
    };

    struct Attempt : EndedAttempt
    {
        // Null once the attempt has ended.
        std::unique_ptr<SentAttempt> sent;
        bool open = true;
    };

    bool findRoute();
    bool admit();
    // Sends the request to the best instance that was not tried. False if there is none.
    bool sendNext();
    // Sends the request once more to an instance that did not run it, because it may not be sent to further ones.
    bool sendAgain();
    void sendTo(const Instance &instance);
    void noteReached(const std::string &instance);
    void ended(std::size_t index, AttemptOutcome outcome);
    void on(const EndedAttempt &attempt, ServerAnswer &answer);
    void on(const EndedAttempt &attempt, const NotRun &result);
    void on(const EndedAttempt &attempt, const OutcomeUnknown &result);
    bool mayRepeat();
    bool mayHedge() const;
    bool hasOpenAttempt() const;
    // Nothing more can be tried: gives the answer that is true for what has happened.
    void conclude();
    void refuse(RefusalReason reason, const char *event);
    void refuseUnconfigured();
    void relay(HttpResponse response, RelayCounter counter);
    void fail(unsigned status, RelayCounter counter, const char *reason);
    void respond(HttpResponse response, const char *event);
    void cancelAttempts();
    void reportRefused(RefusalReason reason);
    void reportFailed();
    std::string_view requestId() const;
    std::string_view workspace() const;
    // Whom to report the end of a caller's request; null if nobody wants to know or the request is none of a caller.
    RelayObserver *observer() const;
    Duration elapsed() const;

    RelayParts &m_parts;
    AttemptSender &m_sender;
    std::shared_ptr<ServerExchange> m_exchange;
    const TimePoint m_arrived;
    // Keeps the route alive.
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    ServiceId m_service;
    // Made by the local backend server for a request that it runs.
    bool m_inner = false;
    // Rank of the caller's request at the top of the chain.
    unsigned m_priority = 0;
    // Made for a run that was a repeat.
    bool m_repeat = false;
    std::uint64_t m_identity = 0;
    TimePoint m_deadline;
    TimePoint m_hedgeAt = TimePoint::max();
    TimePoint m_placeUntil{};
    std::vector<Attempt> m_attempts;
    std::vector<std::string> m_tried;
    // Failure of an instance that is passed on if no other attempt succeeds.
    std::optional<HttpResponse> m_failure;
    // Instances that were reached, whether they ran the request or not.
    std::vector<std::string> m_reached;
    // Sends that an instance ran or may have run.
    unsigned m_sends = 0;
    unsigned m_moves = 0;
    bool m_mayHaveRun = false;
    bool m_waitsForInstance = false;
    bool m_finished = false;
};

} // namespace wisteriafork
