#pragma once

#include "core/base/calldescription.h"
#include "core/base/loadreport.h"
#include "core/base/refusal.h"
#include "core/routing/attemptbudget.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace wisteriafork::lab {

// One place in the tree of calls that a caller's request causes.
struct CallTree
{
    std::size_t service = 0;
    std::size_t operation = 0;
    // Number of the place in its tree.
    std::size_t index = 0;
    std::vector<CallTree> children;
};

// A request of a caller, over all its sends.
struct CallerRequest
{
    const CallTree *tree = nullptr;
    CallClass callClass = CallClass::Read;
    std::uint64_t number = 0;
    std::uint64_t callerHash = 0;
    TimePoint firstSent;
    std::size_t domain = 0;
    bool complete = false;
    // Backend server runs at each place of the tree.
    std::vector<std::uint16_t> runs;
};

// One send of a request, to which work is charged.
struct RequestSend
{
    std::shared_ptr<CallerRequest> request;
    TimePoint sent;
    // Work that servers did for it.
    Duration work{0};
    bool concluded = false;
    bool complete = false;
    // Backend server runs at each place of the tree for this send.
    std::vector<std::uint16_t> runs;
};

enum class ReplyKind : std::uint8_t {
    Complete,
    Refused,
    // The call ran, and a call below it failed.
    FailedBelow,
    // The connection to the server broke.
    Broken,
    // No connection could be made.
    NotSent,
};

struct Reply
{
    ReplyKind kind = ReplyKind::Complete;
    Refusal refusal;
    LoadReport load;
};

// A call that a node sends on: of a caller, or of its local backend server.
struct OutgoingCall
{
    CallDescription call;
    const CallTree *place = nullptr;
    std::shared_ptr<RequestSend> send;
    std::function<void(const Reply &)> reply;
    AttemptBudget budget;
    unsigned retries = 0;
    std::vector<NodeId> tried;
    std::size_t target = 0;
    CallId attempt = 0;
    TimePoint attemptSent;
    // Counted among the calls that wait for the service.
    bool waiting = false;
    bool ended = false;
};

// A call at the node and backend server that run it.
struct ServedCall
{
    CallDescription call;
    const CallTree *place = nullptr;
    std::shared_ptr<RequestSend> send;
    std::function<void(const Reply &)> reply;
    // Call below that it waits for.
    std::shared_ptr<OutgoingCall> child;
    TimePoint workSince;
    bool inServer = false;
    bool working = false;
    bool ended = false;
};

} // namespace wisteriafork::lab
