#pragma once

#include "core/base/random.h"
#include "core/node/nodecore.h"
#include "distribution/simplatform.h"
#include "invariants/judge.h"
#include "invariants/schedule.h"
#include "invariants/simhost.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisteriafork::test {

// A few hosts of three services, front, books and store, which call each other in this order; callers, a network and the platform, in
// virtual time. Plays one schedule.
class SimFleet
{
public:
    // `adjust` may switch off mechanisms of each node.
    SimFleet(const Schedule &schedule, std::function<void(NodeOptions &)> adjust);

    // Plays the schedule, ends all faults, and waits until what was published last must be in force.
    void play();
    std::string verdict() const;

    TimePoint now() const;
    void after(Duration delay, std::function<void()> action);
    // A number from 0 to below `bound`, and true with a probability in per mille.
    int draw(int bound);
    bool chance(int perMille);
    Duration linkDelay();
    Judge &judge();
    const Schedule &schedule() const;
    NodeOptions nodeOptions(const MemberInfo &self) const;
    SimHost *find(const std::string &address);
    SimHost *find(const NodeId &name);
    bool connected(const SimHost &first, const SimHost &second) const;
    void sendMessage(const SimHost &from, const SendPeerMessage &action);
    std::optional<SimPlatform::Value> readPlatform(std::size_t host, const std::string &key) const;
    TimePoint platformSteadySince() const;
    // A caller's read of a service was admitted to the backend server of an instance.
    void readAdmitted(const SimHost &host);
    // Instances of a service that admitted a read just now.
    std::vector<const SimHost *> admittingReads(const std::string &service) const;
    // The call that a backend server makes while it runs a call; empty if none.
    std::optional<Body> callBelow(const Body &body);

private:
    struct Sending
    {
        Body body;
        Request request;
        TimePoint first;
        int resends = 0;
        bool done = false;
    };

    void addHosts(const std::string &service, int count);
    void publishConfiguration();
    void publishList(const std::string &service);
    void run(Duration time);
    void apply(const Fault &fault);
    void restart(std::size_t host, Duration downTime, bool withServer);
    void replace(std::size_t host, Duration linger);
    void cut(std::size_t host, bool wholeDomain, Duration duration);
    void stopPlatform(bool down, Duration duration);
    void changeConfiguration();
    void publishConflict();
    void checkSameContent(const SimHost &host);
    int lastChangeMs() const;
    void checkInForce(std::size_t index, std::uint64_t version, TimePoint published);
    void surge(const Fault &fault);
    void request(const Request &request, const std::string &identity, TimePoint first, int resends);
    void send(const Sending &sending);
    void got(std::size_t send, const Outcome &outcome, const std::string &where);
    void resend(const Sending &sending);

    Schedule m_schedule;
    std::function<void(NodeOptions &)> m_adjust;
    RandomEngine m_random;
    TimePoint m_now{std::chrono::hours(24)};
    std::multimap<TimePoint, std::function<void()>> m_queue;
    Judge m_judge;
    SimPlatform m_platform;
    // The platform that was restored while two contents have the same version; every other host reads it at once, the others later.
    std::optional<SimPlatform> m_restoredPlatform;
    TimePoint m_restoredForAll;
    // Content in force at the first host that was checked for a version.
    std::map<std::uint64_t, std::string> m_contents;
    Configuration m_configuration;
    std::vector<std::unique_ptr<SimHost>> m_hosts;
    std::set<std::pair<const SimHost *, const SimHost *>> m_cuts;
    std::set<std::size_t> m_frozen;
    int m_platformFaults = 0;
    // Checks of a version in force that are still to come.
    int m_openChecks = 0;
    TimePoint m_platformSteadySince;
    std::vector<Sending> m_sendings;
    // Latest read admitted by each instance.
    std::map<const SimHost *, TimePoint> m_readsAdmitted;
    std::uint64_t m_nextCall = 1;
    std::uint32_t m_attempts = 4;
};

} // namespace wisteriafork::test
