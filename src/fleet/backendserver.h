#pragma once

#include "core/base/random.h"
#include "fleet/history.h"
#include "fleet/virtualtime.h"
#include "net/requestsender.h"
#include "net/serverexchange.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace wisteriafork::fleet {

struct BackendServerOptions
{
    std::string service;
    // Host name of the service that is called once for each request; empty for the last service of the chain.
    std::string callee;
    unsigned slots = 4;
    // Requests that wait for a slot; further ones are refused.
    unsigned queue = 4;
    Duration workTime = std::chrono::milliseconds(20);
};

// Troubles of a backend server, as shares of its requests or factors.
struct BackendTrouble
{
    double slowness = 1.0;
    double failures = 0.0;
    double hangs = 0.0;
    double lostAnswers = 0.0;
    double refusals = 0.0;
};

// A backend server with slots that works for a while on each request, calls another service through its node, and answers.
class BackendServer : public RequestSender
{
public:
    // Runs a function with the handler of the node beside it, as soon as that node runs on. False if there is no node.
    using NodeAccess = std::function<bool(std::function<void(ServerHandler &)>)>;

    BackendServer(VirtualTime &time, RandomEngine &random, History &history, BackendServerOptions options, NodeAccess node);

    // Runs from now on as this instance.
    void start(std::string instance);
    // Breaks all connections; nothing runs on.
    void stop();
    // The node beside it has ended: nobody waits for the answers.
    void nodeEnded();
    // Called when a poisoned request has stopped the backend server.
    std::function<void()> crashed;

    BackendTrouble trouble;

    const std::string &instance() const
    {
        return m_instance;
    }

    bool isUp() const
    {
        return m_up;
    }

    std::shared_ptr<ClientExchange> send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra, ResponseHandler handler) override;

private:
    struct Job;
    class SentJob;
    class CallExchange;

    void begin(const std::shared_ptr<Job> &job);
    void call(const std::shared_ptr<Job> &job);
    void finish(const std::shared_ptr<Job> &job, unsigned status);
    void respond(const std::shared_ptr<Job> &job, HttpResponse response);
    void end(const std::shared_ptr<Job> &job);
    void crash(const std::string &target);
    void breakAll();
    bool draws(double share);

    VirtualTime &m_time;
    RandomEngine &m_random;
    History &m_history;
    const BackendServerOptions m_options;
    const NodeAccess m_node;
    std::string m_instance;
    bool m_up = false;
    // Open requests in the order of their arrival; the first ones have the slots.
    std::map<std::uint64_t, std::shared_ptr<Job>> m_jobs;
    std::uint64_t m_lastJob = 0;
};

} // namespace wisteriafork::fleet
