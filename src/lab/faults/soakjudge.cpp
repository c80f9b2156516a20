#include "lab/faults/soakjudge.h"

#include "core/base/hashing.h"

#include <algorithm>
#include <array>
#include <unordered_map>

namespace wisteriafork::lab {

namespace {

// Statuses that promise that a request has not run and never will.
constexpr std::array<unsigned, 4> PromiseStatuses{408, 421, 429, 503};

// Time after which the end of a connection is no crossing of the request and the end: the node had read the request.
constexpr std::chrono::milliseconds CrossingTime{200};

bool isPromise(unsigned status)
{
    return std::ranges::find(PromiseStatuses, status) != PromiseStatuses.end();
}

struct RunOnServer
{
    std::string server;
    const JournalRun *run = nullptr;
};

class Judge
{
public:
    Judge(std::span<const SoakRequest> requests, std::span<const ServerJournal> journals, SoakMode mode)
        : m_requests(requests), m_journals(journals), m_mode(mode)
    {
        for (const SoakRequest &request : requests) {
            m_requestById.emplace(request.id, &request);
        }
        for (const ServerJournal &journal : journals) {
            for (const JournalRun &run : journal.content.runs) {
                m_runsById[run.requestId].push_back({.server = journal.server, .run = &run});
            }
        }
    }

    std::vector<SoakFinding> findings()
    {
        for (const SoakRequest &request : m_requests) {
            judgeRequest(request);
        }
        for (const ServerJournal &journal : m_journals) {
            for (const JournalCall &call : journal.content.calls) {
                judgeRefusal(call.requestId, call.status);
            }
        }
        for (const auto &[id, runs] : m_runsById) {
            judgeRuns(id, runs);
        }
        return std::move(m_findings);
    }

private:
    void judgeRequest(const SoakRequest &request)
    {
        if (!request.fault.empty()) {
            report("MIXED", request.id, request.fault);
        }
        if (request.method == "POST") {
            judgeRefusal(request.id, request.status);
        }
        if (hasPlannedStopsOnly(m_mode) && request.timedOut && !request.abandoned) {
            report("SILENT", request.id, "no response within the deadline of the client");
        }
        // A request that crosses the end of its connection does not run, and its connection ends at once. The link resets connections to a
        // node that does not listen.
        const bool wasTaken = hasRun(request.id) || (request.endedInOrder && request.waited > CrossingTime);
        if (hasPlannedStopsOnly(m_mode) && request.sentWhole && request.connectionEnded && !request.abandoned && wasTaken) {
            report("LOST", request.id,
                   "the connection ended without a complete response after " + std::to_string(request.waited.count()) + " ms; "
                       + (hasRun(request.id) ? "ran on " + serversOf(request.id) : "has not run"));
        }
    }

    void judgeRefusal(const std::string &id, unsigned status)
    {
        if (isPromise(status) && hasRun(id)) {
            report("REFUSED", id, "status " + std::to_string(status) + "; ran on " + serversOf(id));
        }
    }

    void judgeRuns(const std::string &id, const std::vector<RunOnServer> &runs)
    {
        if (runs.size() > 1 && runs.front().run->method == "POST") {
            report("TWICE", id, "ran on " + serversOf(id));
        }
        const std::size_t separator = id.rfind('.');
        if (separator != std::string::npos) {
            judgeCallRuns(id, id.substr(0, separator), runs);
            return;
        }
        const auto sent = m_requestById.find(id);
        for (const RunOnServer &run : runs) {
            if (sent == m_requestById.end()) {
                report("UNASKED", id, "no client has sent it; ran on " + run.server);
            } else if (run.run->method != sent->second->method || run.run->target != sent->second->target
                       || run.run->bodyHash != sent->second->bodyHash) {
                report("UNASKED", id, "the method, target or body is not the one that was sent; ran on " + run.server);
            }
        }
    }

    // Calls of servers have no body and go to the bookings of the next service.
    void judgeCallRuns(const std::string &id, const std::string &parent, const std::vector<RunOnServer> &runs)
    {
        for (const RunOnServer &run : runs) {
            if (!hasRun(parent) || run.run->method != "POST" || !run.run->target.ends_with("/book") || run.run->bodyHash != hash64("")) {
                report("UNASKED", id, "no server has made this call; ran on " + run.server);
            }
        }
    }

    bool hasRun(const std::string &id) const
    {
        return m_runsById.contains(id);
    }

    std::string serversOf(const std::string &id) const
    {
        std::string text;
        for (const RunOnServer &run : m_runsById.at(id)) {
            text += (text.empty() ? "" : ", ") + run.server;
        }
        return text;
    }

    void report(const char *rule, const std::string &id, std::string text)
    {
        m_findings.push_back({.rule = rule, .requestId = id, .text = std::move(text)});
    }

    std::span<const SoakRequest> m_requests;
    std::span<const ServerJournal> m_journals;
    const SoakMode m_mode;
    std::unordered_map<std::string, const SoakRequest *> m_requestById;
    std::unordered_map<std::string, std::vector<RunOnServer>> m_runsById;
    std::vector<SoakFinding> m_findings;
};

} // namespace

std::vector<SoakFinding> judgeSoak(std::span<const SoakRequest> requests, std::span<const ServerJournal> journals, SoakMode mode)
{
    return Judge(requests, journals, mode).findings();
}

} // namespace wisteriafork::lab
