#pragma once

#include "fleet/host.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriafork::fleet {

struct CallerOptions
{
    // New requests per second of all callers together; retries come on top.
    double requestsPerSecond = 80.0;
    // Share of bookings, which are not idempotent; the other requests are idempotent reads.
    double bookingShare = 0.4;
    unsigned maxAttempts = 4;
    // Time for which a caller waits for the response to one attempt.
    Duration responseTimeout = std::chrono::milliseconds(1800);
    // Share of the attempts that are cancelled early, and the time after which they are.
    double earlyCancelShare = 0.02;
    Duration earlyCancelTimeout = std::chrono::milliseconds(60);
};

// Simulates callers that know nothing of the nodes. They send requests to randomly chosen hosts of the entry service, and retry after
// status 503, and after any other failure if the request is idempotent. They don't retry an attempt that they cancelled themselves.
class Callers
{
public:
    Callers(VirtualTime &time, RandomEngine &random, History &history, CallerOptions options, std::vector<Host *> entryHosts);

    // Starts new requests for this time, at random intervals.
    void start(Duration loadTime);
    // Multiplies the rate of new requests by this factor, from the next interval on.
    void setLoadFactor(double factor)
    {
        m_loadFactor = factor;
    }

    // Starts one booking with this target, in addition to the random requests.
    void sendBooking(const std::string &target);
    // Call before the process of the node stops. Its connections break; callers retry idempotent requests.
    void onNodeStopped(const Host &host);
    // Call before the process of the node is frozen.
    void onNodeFrozen(const Host &host);

private:
    // A request with the number of attempts made so far.
    struct Request
    {
        std::size_t number = 0;
        bool idempotent = false;
        std::string target;
        unsigned attempts = 0;
    };

    struct OpenAttempt
    {
        Request request;
        Host *host = nullptr;
        unsigned incarnation = 0;
        std::shared_ptr<ServerExchange> exchange;
    };

    class AttemptExchange;

    // Starts a request after a random delay, and so on until the load ends.
    void scheduleNextRequest();
    // Records a new request and sends its first attempt.
    void startRequest(bool idempotent, const std::string &target);
    // Sends an attempt to a randomly chosen host whose node runs. Retries later if there is none.
    void sendAttempt(Request request);
    // Records the response and retries if the caller would.
    void onResponse(const std::string &id, const HttpResponse &response);
    // Cancels the attempt if it is still open.
    void cancelAttempt(const std::string &id);
    // Sends another attempt after the delay unless all attempts are used up.
    void scheduleRetry(Request request, Duration delay);

    VirtualTime &m_time;
    RandomEngine &m_random;
    History &m_history;
    const CallerOptions m_options;
    const std::vector<Host *> m_entryHosts;
    TimePoint m_loadEnd{};
    double m_loadFactor = 1.0;
    // Attempts without a response, by id.
    std::map<std::string, OpenAttempt> m_openAttempts;
};

} // namespace wisteriafork::fleet
