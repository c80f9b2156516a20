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
    // Host name of the service to call once for each request; empty for the last service of the chain.
    std::string callee;
    // Requests that are executed at the same time.
    unsigned slots = 4;
    // Requests that may wait for a slot; further ones are refused.
    unsigned queueLimit = 4;
    // The work on one request takes between half of this and one and a half times this.
    Duration meanWorkTime = std::chrono::milliseconds(20);
};

// Faults injected into a backend server. Each share is the probability that a request is affected.
struct BackendServerFaults
{
    // The work on each request takes this many times as long.
    double slowdownFactor = 1.0;
    // Requests that get status 500.
    double failureShare = 0.0;
    // Requests that get their response only after callers and nodes have given up waiting.
    double hangShare = 0.0;
    // Successful requests whose connection breaks before the response.
    double lostAnswerShare = 0.0;
    // Requests that are rejected with status 503 without being executed.
    double refusalShare = 0.0;
};

// A simulated backend server. It works on each request in one of its slots, calls the next service through the local node, and responds.
class BackendServer : public RequestSender
{
public:
    // Calls the function with the caller handler of the local node: at once, or after the freeze if the node is frozen. Returns false if
    // the node does not run.
    using NodeAccess = std::function<bool(std::function<void(ServerHandler &)>)>;

    BackendServer(VirtualTime &time, RandomEngine &random, History &history, BackendServerOptions options, NodeAccess nodeAccess);

    // Accepts requests from now on, as this instance.
    void start(std::string instance);
    // Drops all requests and reports their connections as broken.
    void stop();
    // The local node has stopped: drops all requests, as nothing waits for their responses.
    void onNodeStopped();
    // Called after a crashing request has stopped the backend server.
    std::function<void()> onCrash;

    BackendServerFaults faults;

    const std::string &instance() const
    {
        return m_instance;
    }

    bool isRunning() const
    {
        return m_running;
    }

    // Receives a request from the local node.
    std::shared_ptr<ClientExchange> send(std::shared_ptr<const HttpRequest> request, HttpHeaders extra, ResponseHandler handler) override;
    void probe(std::function<void(bool accepted)> handler) override;

private:
    struct Job;
    class JobExchange;
    class CallExchange;

    // Starts the work on the request unless it has started, was dropped, or finds no free slot.
    void startJob(const std::shared_ptr<Job> &job);
    void callNextService(const std::shared_ptr<Job> &job);
    // Responds with 200, or with 500 if the status of the called service is another one or a fault is drawn.
    void finishJob(const std::shared_ptr<Job> &job, unsigned status);
    // Releases the job and passes the response to the node, or a broken connection if that fault is drawn.
    void sendResponse(const std::shared_ptr<Job> &job, HttpResponse response);
    // Removes the job, cancels its open call, and starts the next one that waits for a slot.
    void releaseJob(const std::shared_ptr<Job> &job);
    void crash(const std::string &target);
    void abortJobs();
    // True with this probability. Draws nothing for a probability of 0.
    bool drawChance(double probability);

    VirtualTime &m_time;
    RandomEngine &m_random;
    History &m_history;
    const BackendServerOptions m_options;
    const NodeAccess m_nodeAccess;
    std::string m_instance;
    bool m_running = false;
    // Open requests by number, in the order of their arrival. Slots are given in this order.
    std::map<std::uint64_t, std::shared_ptr<Job>> m_jobs;
    std::uint64_t m_lastJobNumber = 0;
};

} // namespace wisteriafork::fleet
