#pragma once

#include "fleet/host.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriafork::fleet {

struct CallerOptions
{
    // New requests a second, and the share of bookings among them.
    double rate = 80.0;
    double bookings = 0.4;
    unsigned attempts = 4;
    // Time for which a caller waits for an answer.
    Duration patience = std::chrono::milliseconds(1800);
    // Share of the attempts that are given up early, and after which time.
    double earlyLeaves = 0.02;
    Duration earlyLeave = std::chrono::milliseconds(60);
};

// Old callers: send a request again after a refusal, and after any other failure if it may be repeated.
class Callers
{
public:
    Callers(VirtualTime &time, RandomEngine &random, History &history, CallerOptions options, std::vector<Host *> entries);

    // Sends new requests for this time.
    void start(Duration time);
    // The load is this many times the usual one.
    void setFactor(double factor)
    {
        m_factor = factor;
    }

    // One caller that sends this booking until it is answered or its attempts are used up.
    void sendBooking(const std::string &target);
    // The process of the node has ended: its connections break.
    void hostEnded(const Host &host);
    // The node stands still.
    void hostFroze(const Host &host);

private:
    struct Request
    {
        std::size_t number = 0;
        bool idempotent = false;
        std::string target;
        unsigned attempts = 0;
    };

    struct Open
    {
        Request request;
        Host *host = nullptr;
        unsigned incarnation = 0;
        std::shared_ptr<ServerExchange> exchange;
    };

    class Exchange;

    void next();
    void begin(bool idempotent, const std::string &target);
    void attempt(Request request);
    void answered(const std::string &id, const HttpResponse &response);
    void leave(const std::string &id);
    void again(Request request, Duration pause);

    VirtualTime &m_time;
    RandomEngine &m_random;
    History &m_history;
    const CallerOptions m_options;
    const std::vector<Host *> m_entries;
    TimePoint m_end{};
    double m_factor = 1.0;
    std::map<std::string, Open> m_open;
};

} // namespace wisteriafork::fleet
