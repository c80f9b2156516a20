#pragma once

#include "core/node/forwardedcalls.h"
#include "core/node/localcalls.h"
#include "core/node/nodeparts.h"
#include "core/ownership/opencopies.h"
#include "core/ownership/ownership.h"

#include <memory>

namespace wisteriafork {

// Takes calls of non-idempotent operations to the owner of their key, and carries out what the local owner decides.
class KeyedCalls
{
public:
    KeyedCalls(NodeParts &parts, LocalCalls &local, ForwardedCalls &forwarded);

    // A new call: the local owner decides on it, or it is sent to the likely owner.
    void place(CallState &state);
    // An attempt of a call that the local owner runs has ended.
    void runEnded(CallState &state, const AttemptResult &result);
    // The caller is gone. Returns true if the call stays in the table because its run goes on.
    bool withdraw(CallState &state);
    // The call was answered or given up; called before it is removed from the table.
    void closed(const CallState &state);

    void receive(const NodeId &from, const OwnershipMessage &message);
    // Starts the local owner with the waiting times of the configuration.
    void configure();
    void hostListChanged(const HostList &list);
    void unreachable(const NodeId &member);
    void tick();
    void wake();
    void stop();
    bool isReleased() const;

    // Null before the first configuration.
    const Ownership *ownership() const
    {
        return m_ownership.get();
    }

private:
    OwnershipOptions ownershipOptions() const;
    void startOwnership();
    void decide(CallState &state);
    void handle(const OwnershipInput &input);
    void on(const RunKey &output);
    void on(const WaitForAttempt &output);
    void on(const ReplayAnswer &output);
    void on(const RefuseCall &output);
    void on(const RedirectCall &output);
    void on(const SendOwnershipMessage &output);
    void on(const KeepAnswer &output);
    void on(const DropAnswer &output);
    void on(const WakeOwnership &output);
    void on(const OwnershipReleased &output);
    void on(const OwnershipExcluded &output);
    // Another instance with a free slot for a run that the local backend server has none for; empty if there is none.
    std::optional<NodeId> findSpareInstance(const CallState &state);
    void refuse(CallState &state, const Refusal &refusal);
    void finish(CallState &state);

    NodeParts &m_parts;
    LocalCalls &m_local;
    ForwardedCalls &m_forwarded;
    // Created with the first configuration, which gives its waiting times.
    std::unique_ptr<Ownership> m_ownership;
    OpenCopies m_openCopies;
    bool m_released = false;
    bool m_stopping = false;
    // Incarnations of the local owner that were excluded.
    Incarnation m_exclusions = 0;
};

} // namespace wisteriafork
